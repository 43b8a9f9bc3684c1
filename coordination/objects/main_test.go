package objects

import (
	"flag"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	// Flags on the command line are parsed later and override this.
	if err := flag.Set("rapid.seed", "20"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
