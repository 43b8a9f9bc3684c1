package tillerd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"bilberrytiller.example/tiller/daemon"
	"bilberrytiller.example/tiller/gateway"
	"bilberrytiller.example/tiller/platform"
	"bilberrytiller.example/tiller/transport/logline"
)

// gatewayCommand is the argument that serves clients on the operators'
// platform.
const gatewayCommand = "gateway"

// runGateway serves clients with the settings of the platform's file.
func runGateway(stdout, stderr io.Writer) int {
	path := os.Getenv(platform.SettingsEnv)
	settings, err := platform.ReadSettings(path)
	if err != nil {
		fmt.Fprintln(stderr, "tillerd:", err)
		return exitSettings
	}
	lines := logline.NewWriter(stdout)
	defer lines.Close()
	log, err := daemon.NewLogger(lines, "info")
	if err != nil {
		fmt.Fprintln(stderr, "tillerd:", err)
		return exitSettings
	}
	if err := serveGateway(settings, log); err != nil {
		log.Error().Str("event", "gateway.failed").Err(err).Send()
		return exitFailed
	}
	return exitOK
}

func serveGateway(settings platform.Settings, log zerolog.Logger) error {
	g, err := gateway.New(settings.Gateway, platform.Headers(), log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	go func() {
		for range reloads {
			log.Info().Str("event", "gateway.reload").Send()
		}
	}()
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
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
