// Command capacity measures the control-plane overhead of a daemon as a
// function of the fleet size. It needs tillerd on the PATH.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"bilberrytiller.example/standin/capacity"
)

type options struct {
	Hosts     []int         `long:"hosts" default:"3" default:"9" default:"27" description:"size of a fleet; may be repeated"`
	Upstreams int           `long:"upstreams" default:"36" description:"backend servers in the catalogue"`
	Blocks    int           `long:"blocks" default:"0" description:"client blocks in the catalogue"`
	Changes   float64       `long:"changes" default:"0" description:"catalogue changes a second"`
	Time      time.Duration `long:"time" default:"10s" description:"time to measure each fleet"`
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
	opts := capacity.Options{Hosts: o.Hosts, Upstreams: o.Upstreams, Blocks: o.Blocks, Changes: o.Changes, Time: o.Time}
	if err := capacity.Run(opts, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}
