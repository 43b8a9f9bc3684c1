// Command bench compares the system with baselines. It needs tillerd on the
// PATH.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"bilberrytiller.example/standin/bench"
)

type options struct {
	Only []string `long:"only" description:"experiment to run; may be repeated"`
	Seed uint64   `long:"seed" default:"1" description:"seed of the arrival times"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var flagErr *flags.Error
		if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
			return
		}
		os.Exit(2)
	}
	if err := bench.Main(o.Only, o.Seed, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}
