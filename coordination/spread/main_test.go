package spread

import (
	"flag"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	// A fixed seed makes runs reproducible. A seed given on the command line
	// takes precedence, because flags are parsed after this call.
	if err := flag.Set("rapid.seed", "20"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
