package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"bilberrytiller.example/standin/objectstore"
	"bilberrytiller.example/standin/originserver"
	"bilberrytiller.example/standin/soak"
)

// ErrDemoFailed reports that a step of the gateway demo failed.
var ErrDemoFailed = errors.New("gateway demo failed")

const (
	demoRequests      = 40
	demoTimeout       = 30 * time.Second
	readyPollInterval = 20 * time.Millisecond
)

type fieldCommand struct {
	Program  string `long:"program" required:"true" description:"path of tillerd"`
	Gateways int    `long:"gateways" default:"3" description:"gateways to start"`
}

// Execute runs the gateway demo on an emulated platform: a gateway is stopped
// and the store stops answering while clients send requests.
func (c *fieldCommand) Execute([]string) error {
	dir, err := os.MkdirTemp("", "field")
	if err != nil {
		return fmt.Errorf("gateway demo: create folder: %w", err)
	}
	defer os.RemoveAll(dir)
	cluster, err := soak.NewCluster(c.Program, dir)
	if err != nil {
		return fmt.Errorf("gateway demo: start cluster: %w", err)
	}
	defer cluster.Close()
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	return c.runSteps(ctx, cluster)
}

func (c *fieldCommand) runSteps(ctx context.Context, cluster *soak.Cluster) error {
	if err := c.start(ctx, cluster); err != nil {
		return err
	}
	steps := []struct {
		name string
		do   func() error
		at   int
	}{
		{"no faults", func() error { return nil }, 0},
		{"a gateway stops gracefully", func() error { return errors.Join(cluster.Signal(0, syscall.SIGTERM), cluster.AwaitExit(0)) }, 1},
		{"the store stops answering", func() error { cluster.Store.SetFaults(objectstore.Faults{Unresponsive: true}); return nil }, 1},
		{"the stopped gateway starts without the store", func() error { return errors.Join(cluster.Start(0), waitReady(ctx, cluster, 0)) }, 0},
	}
	for i, step := range steps {
		if err := step.do(); err != nil {
			return fmt.Errorf("%s: %w", step.name, err)
		}
		answered, err := sendAll(ctx, cluster, step.at, i)
		if err != nil {
			return fmt.Errorf("%s: %w", step.name, err)
		}
		fmt.Printf("%s: %d of %d requests answered\n", step.name, answered, demoRequests)
	}
	return nil
}

func (c *fieldCommand) start(ctx context.Context, cluster *soak.Cluster) error {
	if err := cluster.Configure(1); err != nil {
		return err
	}
	for _, service := range []string{"look", "pay"} {
		for i := range 2 {
			o := originserver.Options{ID: fmt.Sprint("i-", service, i), Slots: 4, Work: 5 * time.Millisecond}
			if err := cluster.AddServer(service, o); err != nil {
				return err
			}
		}
	}
	for range c.Gateways {
		n, err := cluster.AddGateway()
		if err != nil {
			return err
		}
		if err := errors.Join(cluster.Start(n), waitReady(ctx, cluster, n)); err != nil {
			return err
		}
	}
	return nil
}

func waitReady(ctx context.Context, cluster *soak.Cluster, n int) error {
	for !cluster.Ready(n) {
		if ctx.Err() != nil {
			return fmt.Errorf("%w: gateway %d is not ready: %w", ErrDemoFailed, n, ctx.Err())
		}
		time.Sleep(readyPollInterval)
	}
	return nil
}

// sendAll sends requests to a gateway, half of them payments. Each must be
// answered with status 200 and must have run exactly once.
func sendAll(ctx context.Context, cluster *soak.Cluster, gateway, step int) (int, error) {
	answered := 0
	for i := range demoRequests {
		id, path := fmt.Sprintf("step%d-%d", step, i), "/look/x"
		if i%2 == 0 {
			path = "/pay/x"
		}
		status, err := sendOne(ctx, cluster.ClientURL(gateway)+path, id)
		if err != nil {
			return answered, err
		}
		if status != http.StatusOK || len(cluster.Runs.ServersOf(id)) != 1 {
			return answered, fmt.Errorf("%w: request %s got status %d and ran on %v", ErrDemoFailed, id, status, cluster.Runs.ServersOf(id))
		}
		answered++
	}
	return answered, nil
}

func sendOne(ctx context.Context, url, id string) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(id))
	if err != nil {
		return 0, fmt.Errorf("request: %w", err)
	}
	req.Host = "field.example"
	req.Header.Set("X-Bilberrytiller-Attempt-Id", id)
	req.Header.Set("X-Bilberrytiller-Deadline-Ms", "2000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, fmt.Errorf("request: %w", err)
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
