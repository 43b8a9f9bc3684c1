// Package tillerctl is the command line for operators. It changes entries of
// the catalogue in the platform, and reads from daemons what they do.
package tillerctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"bilberrytiller.example/tiller/coordination/platform"
	"bilberrytiller.example/tiller/internal/version"
	"bilberrytiller.example/tiller/transport/platformhttp"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
	exitNotFound = 4
	exitInvalid  = 5
)

// options are the settings that all commands share.
type options struct {
	Platform string   `long:"platform" env:"TILLER_PLATFORM" description:"base URL of the platform's object API"`
	Daemons  []string `long:"daemon" env:"TILLER_DAEMONS" env-delim:"," description:"operator address of a daemon; may be repeated"`
	Secret   string   `long:"secret" env:"TILLER_SECRET" description:"secret shared with the daemons; prefer the environment variable"`
	Output   string   `long:"output" short:"o" default:"table" choice:"table" choice:"json" description:"form of the output"`
	Version  func()   `long:"version" description:"print the version and exit"`
}

// env is what a command needs to run.
type env struct {
	ctx    context.Context
	opts   *options
	stdout io.Writer
	stderr io.Writer
}

func (e *env) platform() (platform.Client, error) {
	if e.opts.Platform == "" {
		return nil, &UsageError{Flag: "platform", Env: "TILLER_PLATFORM"}
	}
	return platformhttp.New(e.opts.Platform), nil
}

// UsageError names a setting that a command needs and that is not set.
type UsageError struct{ Flag, Env string }

func (e *UsageError) Error() string { return fmt.Sprintf("--%s (%s) is not set", e.Flag, e.Env) }

// Main runs the command line of the process and returns its exit code.
func Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return run(ctx, os.Args[1:], os.Stdout, os.Stderr)
}

// versionError ends parsing when the version was asked for.
type versionError struct{}

func (versionError) Error() string { return "version" }

func run(ctx context.Context, args []string, stdout, stderr io.Writer) (code int) {
	opts := &options{}
	opts.Version = func() { panic(versionError{}) }
	defer func() {
		if r := recover(); r != nil {
			if _, ok := r.(versionError); !ok {
				panic(r)
			}
			fmt.Fprintln(stdout, "tillerctl", version.Version)
			code = exitOK
		}
	}()
	parser := flags.NewParser(opts, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "tillerctl"
	parser.LongDescription = "tillerctl changes catalogue entries in the platform and shows what daemons do."
	e := &env{ctx: ctx, opts: opts, stdout: stdout, stderr: stderr}
	for _, c := range commands(e) {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.run); err != nil {
			panic(err) // Only a wrong struct tag in this package gets here.
		}
	}
	_, err := parser.ParseArgs(args)
	return report(err, stdout, stderr)
}

type command struct {
	name, short, long string
	run               flags.Commander
}

func report(err error, stdout, stderr io.Writer) int {
	var flagErr *flags.Error
	if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
		fmt.Fprintln(stdout, flagErr.Message)
		return exitOK
	}
	if err != nil {
		fmt.Fprintln(stderr, "tillerctl:", err)
	}
	return exitCode(err)
}
