// Package tillerd implements the command line of the daemon of one entry host.
package tillerd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"bilberrytiller.example/tiller/daemon"
	"bilberrytiller.example/tiller/internal/version"
	"bilberrytiller.example/tiller/transport/logline"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
	// exitCut means that the stop cut off requests in flight.
	exitCut = 3
)

const longDescription = `tillerd is the daemon of one entry host. It answers callers' look-ups, admits their requests by rank and forwards them to backend servers.

Each setting has a flag and an environment variable; the flag takes precedence. Durations are written like 250ms, 5s or 15m.

With the argument gateway, it serves clients on the operators' platform instead; see tillerd gateway --help.

SIGTERM starts a graceful stop: new look-ups name other hosts, look-ups that callers have cached expire, and requests in flight complete. A second SIGTERM stops at once and logs how many requests it cuts off.

Exit codes:
  0  stopped gracefully
  1  failed while serving
  2  invalid settings; nothing was started
  3  the stop cut off requests in flight

Example:
  TILLER_SECRET_FILE=/run/tiller/secret tillerd --host-id nairobi-a \
    --datacentre nairobi-1 --region nairobi --platform http://10.0.0.9:7000 \
    --caller-listen 10.0.0.1:7400 --peer-listen 10.0.0.1:7401`

type options struct {
	daemon.Settings
	Run struct {
		Check   bool `long:"check" description:"check the settings and exit"`
		Version bool `long:"version" description:"print the version and exit"`
	} `group:"Instead of serving"`
}

// Main runs tillerd with the arguments of the process and returns the exit code.
func Main() int { return run(os.Args[1:], os.Stdout, os.Stderr) }

func run(args []string, stdout, stderr io.Writer) int {
	// A write to a standard output that nobody reads any more would end the process.
	signal.Ignore(syscall.SIGPIPE)
	if len(args) > 0 && args[0] == gatewayCommand {
		return runGatewayCommand(args[1:], stdout, stderr)
	}
	opts, invalid, err := parseArgs(args)
	var flagErr *flags.Error
	switch {
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		fmt.Fprintln(stdout, strings.TrimRight(flagErr.Message, "\n"))
		return exitOK
	case err != nil:
		fmt.Fprintln(stderr, "tillerd:", err)
		return exitSettings
	case opts.Run.Version:
		fmt.Fprintln(stdout, "tillerd", version.Version)
		return exitOK
	}
	if err := checkSettings(opts, invalid); err != nil {
		fmt.Fprintln(stderr, err)
		return exitSettings
	}
	if opts.Run.Check {
		fmt.Fprintln(stdout, "settings are valid")
		return exitOK
	}
	return serve(opts.Settings, stderr)
}

func serve(settings daemon.Settings, stderr io.Writer) int {
	lineWriter := logline.NewWriter(stderr)
	defer lineWriter.Close()
	log, err := daemon.NewLogger(lineWriter, settings.LogLevel)
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
	go handleSignals(signals, stop, d, log, lineWriter)
	return exitCode(d.Run(ctx), stderr)
}

// handleSignals starts a graceful stop on the first signal. On the second it logs
// what it cuts off and ends the process.
func handleSignals(signals <-chan os.Signal, stop context.CancelFunc, d *daemon.Daemon, log zerolog.Logger, lineWriter *logline.Writer) {
	<-signals
	stop()
	<-signals
	cut := d.InFlight()
	log.Error().Str("event", "daemon.cut").Int("requests", cut.Requests).Int("calls", cut.Calls).Int("runs", cut.Runs).Send()
	_ = lineWriter.Close()
	os.Exit(exitCut)
}

func exitCode(err error, stderr io.Writer) int {
	var cut *daemon.StopTimeoutError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &cut):
		return exitCut
	}
	fmt.Fprintln(stderr, err)
	return exitFailed
}
