// Command report generates an HTML page from the journal of bench runs.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"bilberrytiller.example/standin/report"
)

type options struct {
	Journal string `long:"journal" default:"journal" value-name:"DIR" description:"folder of the runs"`
	Out     string `long:"out" default:"bin/report.html" value-name:"FILE" description:"page to write"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	if err := write(opts); err != nil {
		fmt.Fprintln(os.Stderr, "report:", err)
		os.Exit(1)
	}
}

func write(opts options) error {
	entries, unreadable, err := report.Read(opts.Journal)
	for _, err := range unreadable {
		fmt.Fprintln(os.Stderr, "report: skipped:", err)
	}
	if err != nil {
		return err
	}
	out, err := os.Create(opts.Out)
	if err != nil {
		return fmt.Errorf("create page: %w", err)
	}
	if err := report.Write(out, entries); err != nil {
		return err
	}
	return out.Close()
}
