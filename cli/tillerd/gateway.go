package tillerd

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"bilberrytiller.example/tiller/daemon"
	"bilberrytiller.example/tiller/gateway"
	"bilberrytiller.example/tiller/platform"
	"bilberrytiller.example/tiller/transport/logline"
)

// gatewayCommand is the argument that serves clients on the operators'
// platform.
const gatewayCommand = "gateway"

// settingsPeriod is how often the settings file is looked at: it may change
// without a signal.
const settingsPeriod = 5 * time.Second

// runGateway serves clients with the settings of the platform's file.
func runGateway(stdout, stderr io.Writer) int {
	// SIGHUP ends a process that has not asked for it.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	path := os.Getenv(platform.SettingsEnv)
	settings, err := platform.ReadSettings(path)
	if err != nil {
		fmt.Fprintln(stderr, "tillerd:", err)
		return exitSettings
	}
	bounded := logline.NewDroppingWriter(stdout)
	defer bounded.Close()
	lines := logline.NewWriter(bounded)
	defer lines.Close()
	log, err := daemon.NewLogger(lines, "info")
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
	go followSettings(ctx, path, reloads, g, log)
	adapter := platform.NewAdapter(settings, g, log)
	following, stopFollowing := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		adapter.Run(following)
	}()
	err = g.Run(ctx, platform.Handlers(g))
	stopFollowing()
	<-done
	adapter.Leave()
	return err
}

// followSettings reads the settings file again at SIGHUP and when it changed.
// A file that cannot be used leaves the settings as they are.
func followSettings(ctx context.Context, path string, reloads <-chan os.Signal, g *gateway.Gateway, log zerolog.Logger) {
	ticker := time.NewTicker(settingsPeriod)
	defer ticker.Stop()
	changed := modified(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloads:
		case <-ticker.C:
			if modified(path).Equal(changed) {
				continue
			}
		}
		changed = modified(path)
		settings, err := platform.ReadSettings(path)
		if err != nil {
			log.Error().Str("event", "settings.invalid").Err(err).Send()
			continue
		}
		g.Reload(settings.Gateway)
	}
}

// modified returns when a file was last written, or no time if that cannot
// be told; reading the file then says why.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
