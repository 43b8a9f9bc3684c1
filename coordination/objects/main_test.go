package objects

import (
	"flag"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	// A seed on the command line comes after this one.
	if err := flag.Set("rapid.seed", "20"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
