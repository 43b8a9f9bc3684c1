// Package tillerd is the command line of the daemon of one entry host.
package tillerd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"bilberrytiller.example/tiller/daemon"
	"bilberrytiller.example/tiller/internal/version"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
	// exitCut says that a stop cut requests in flight.
	exitCut = 3
)

type options struct {
	daemon.Settings
	Check   bool `long:"check" description:"check the settings and exit"`
	Version bool `long:"version" description:"print the version and exit"`
}

// Main runs the command line of the process and returns its exit code.
func Main() int { return run(os.Args[1:], os.Stdout, os.Stderr) }

func run(args []string, stdout, stderr io.Writer) int {
	var opts options
	parser := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "tillerd"
	parser.ShortDescription = "entry host daemon of bilberrytiller"
	parser.LongDescription = "tillerd answers callers' look-ups, admits their requests and forwards them to backend servers."
	rest, err := parser.ParseArgs(args)
	if code, done := parsed(rest, err, stdout, stderr); done {
		return code
	}
	if opts.Version {
		fmt.Fprintln(stdout, "tillerd", version.Version)
		return exitOK
	}
	if err := opts.Settings.Check(); err != nil {
		fmt.Fprintln(stderr, err)
		return exitSettings
	}
	if opts.Check {
		fmt.Fprintln(stdout, "settings are valid")
		return exitOK
	}
	return serve(opts.Settings, stderr)
}

// parsed reports whether the command line alone decides the exit code.
func parsed(rest []string, err error, stdout, stderr io.Writer) (int, bool) {
	var flagErr *flags.Error
	if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
		fmt.Fprintln(stdout, flagErr.Message)
		return exitOK, true
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitSettings, true
	}
	if len(rest) > 0 {
		fmt.Fprintf(stderr, "unexpected arguments: %q\n", rest)
		return exitSettings, true
	}
	return 0, false
}

func serve(settings daemon.Settings, stderr io.Writer) int {
	log, err := daemon.NewLogger(stderr, settings.LogLevel)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitSettings
	}
	d, err := daemon.New(settings, log)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitSettings
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go followSignals(signals, stop, d, log)
	return exitCode(d.Run(ctx), stderr)
}

// followSignals starts a graceful stop at the first signal and ends the
// process at the second, saying what it cuts.
func followSignals(signals <-chan os.Signal, stop context.CancelFunc, d *daemon.Daemon, log zerolog.Logger) {
	<-signals
	stop()
	<-signals
	cut := d.InFlight()
	log.Error().Str("event", "daemon.cut").Int("requests", cut.Requests).Int("calls", cut.Calls).Int("runs", cut.Runs).Send()
	os.Exit(exitCut)
}

func exitCode(err error, stderr io.Writer) int {
	var cut *daemon.CutError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &cut):
		return exitCut
	}
	fmt.Fprintln(stderr, err)
	return exitFailed
}
