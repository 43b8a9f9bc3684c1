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
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"bilberrytiller.example/tiller/daemon"
	"bilberrytiller.example/tiller/gateway"
	"bilberrytiller.example/tiller/platform"
	"bilberrytiller.example/tiller/transport/logline"
)

// gatewayCommand is the argument that starts the gateway, which serves clients on
// the operators' platform.
const gatewayCommand = "gateway"

const gatewayDescription = `tillerd gateway serves clients on the operators' platform: it accepts their requests, and sends them to backend servers.

It has no flags. The environment variable ` + platform.SettingsEnv + ` holds the path of the settings file, which is read again on SIGHUP and when it changes. SIGTERM starts a graceful stop, which takes as long as the settings allow at most.

Exit codes:
  0  stopped gracefully
  1  failed while serving
  2  invalid settings; nothing was started`

// settingsPollInterval is how often the settings file is checked for changes, since it
// may change without a SIGHUP.
const settingsPollInterval = 5 * time.Second

// runGatewayCommand runs the gateway unless the arguments ask for help or are unknown, and
// returns the exit code.
func runGatewayCommand(args []string, stdout, stderr io.Writer) int {
	parser := flags.NewParser(&struct{}{}, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "tillerd " + gatewayCommand
	parser.LongDescription = gatewayDescription
	rest, err := parser.ParseArgs(args)
	var flagErr *flags.Error
	switch {
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		fmt.Fprintln(stdout, strings.TrimRight(flagErr.Message, "\n"))
		return exitOK
	case err == nil && len(rest) > 0:
		err = fmt.Errorf("%w: %q; see tillerd %s --help", ErrUnexpectedArguments, rest, gatewayCommand)
	}
	if err != nil {
		fmt.Fprintln(stderr, "tillerd:", err)
		return exitSettings
	}
	return runGateway(stdout, stderr)
}

// runGateway runs the gateway with the settings in the platform's settings file
// and returns the exit code.
func runGateway(stdout, stderr io.Writer) int {
	// Registered first, since SIGHUP terminates a process that does not handle it.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	path := os.Getenv(platform.SettingsEnv)
	if path == "" {
		fmt.Fprintf(stderr, "tillerd: %s is not set, want the path of the settings file\n", platform.SettingsEnv)
		return exitSettings
	}
	settings, err := awaitSettings(path, stderr)
	if err != nil {
		fmt.Fprintf(stderr, "tillerd: %s: %v\n", platform.SettingsEnv, err)
		return exitSettings
	}
	dropping := logline.NewDroppingWriter(stdout)
	defer dropping.Close()
	lineWriter := logline.NewWriter(dropping)
	defer lineWriter.Close()
	log, err := daemon.NewLogger(lineWriter, "info")
	if err != nil {
		fmt.Fprintln(stderr, "tillerd:", err)
		return exitSettings
	}
	if err := serveGateway(path, settings, reloads, log); err != nil {
		log.Error().Str("event", "gateway.failed").Err(err).Send()
		return exitFailed
	}
	return exitOK
}

const (
	// settingsSettleTime is how long an invalid settings file must stay unchanged before
	// it is refused, and settingsTimeout how long a file may change at most.
	settingsSettleTime = 500 * time.Millisecond
	settingsTimeout    = 5 * time.Second
	settingsInterval   = 20 * time.Millisecond
)

// awaitSettings reads the settings file. A file that is invalid may be in the middle of
// being written, so it is read again until it is valid or no longer changes.
func awaitSettings(path string, stderr io.Writer) (platform.Settings, error) {
	began := time.Now()
	lastChange, lastModTime := began, modTime(path)
	for reported := false; ; time.Sleep(settingsInterval) {
		settings, err := platform.ReadSettings(path)
		if err == nil {
			return settings, nil
		}
		now := time.Now()
		if at := modTime(path); !at.Equal(lastModTime) {
			lastChange, lastModTime = now, at
		}
		if now.Sub(lastChange) > settingsSettleTime || now.Sub(began) > settingsTimeout {
			return settings, err
		}
		if !reported {
			fmt.Fprintln(stderr, "tillerd: settings are read again in case they are being written:", err)
			reported = true
		}
	}
}

func serveGateway(path string, settings platform.Settings, reloads <-chan os.Signal, log zerolog.Logger) error {
	if len(settings.InvalidSeeds) > 0 {
		log.Warn().Str("event", "settings.seeds_unreadable").Strs("seeds", settings.InvalidSeeds).Send()
	}
	g, err := gateway.New(settings.Gateway, platform.Headers(), log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go watchSettings(ctx, path, reloads, g, log)
	adapter := platform.NewAdapter(settings, g, log)
	adapterCtx, stopAdapter := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		adapter.Run(adapterCtx)
	}()
	err = g.Run(ctx, platform.Handlers(g))
	stopAdapter()
	<-done
	adapter.Leave()
	return err
}

// watchSettings reloads the settings file on SIGHUP and when its modification time
// changes. If the file is invalid, the current settings stay in force.
func watchSettings(ctx context.Context, path string, reloads <-chan os.Signal, g *gateway.Gateway, log zerolog.Logger) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModTime := modTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloads:
		case <-ticker.C:
			if modTime(path).Equal(lastModTime) {
				continue
			}
		}
		lastModTime = modTime(path)
		settings, err := platform.ReadSettings(path)
		if err != nil {
			log.Error().Str("event", "settings.invalid").Err(err).Send()
			continue
		}
		g.Reload(settings.Gateway)
	}
}

// modTime returns the modification time of a file, or the zero time if it cannot be
// read. The cause is then reported when the file itself is read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
