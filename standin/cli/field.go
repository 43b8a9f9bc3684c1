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

// ErrDemoFailed says that a demonstration did not go as promised.
var ErrDemoFailed = errors.New("the demonstration failed")

const (
	fieldRequests = 40
	fieldTimeout  = 30 * time.Second
	readyPause    = 20 * time.Millisecond
)

type fieldCommand struct {
	Program  string `long:"program" required:"true" description:"path of tillerd"`
	Gateways int    `long:"gateways" default:"3" description:"gateways to start"`
}

// Execute plays the platform's path: gateways are stopped and killed and the
// store falls silent while clients are served.
func (c *fieldCommand) Execute([]string) error {
	dir, err := os.MkdirTemp("", "field")
	if err != nil {
		return fmt.Errorf("field: %w", err)
	}
	defer os.RemoveAll(dir)
	field, err := soak.NewField(c.Program, dir)
	if err != nil {
		return fmt.Errorf("field: %w", err)
	}
	defer field.Close()
	ctx, cancel := context.WithTimeout(context.Background(), fieldTimeout)
	defer cancel()
	return c.play(ctx, field)
}

func (c *fieldCommand) play(ctx context.Context, field *soak.Field) error {
	if err := c.start(ctx, field); err != nil {
		return err
	}
	steps := []struct {
		name string
		do   func() error
		at   int
	}{
		{"all is well", func() error { return nil }, 0},
		{"a gateway stops gracefully", func() error { return errors.Join(field.Signal(0, syscall.SIGTERM), field.Ended(0)) }, 1},
		{"the store falls silent", func() error { field.Store.SetFaults(objectstore.Faults{Unresponsive: true}); return nil }, 1},
		{"the stopped gateway starts without the store", func() error { return errors.Join(field.Start(0), ready(ctx, field, 0)) }, 0},
	}
	for i, step := range steps {
		if err := step.do(); err != nil {
			return fmt.Errorf("%s: %w", step.name, err)
		}
		answered, err := sendAll(ctx, field, step.at, i)
		if err != nil {
			return fmt.Errorf("%s: %w", step.name, err)
		}
		fmt.Printf("%s: %d of %d requests answered\n", step.name, answered, fieldRequests)
	}
	return nil
}

func (c *fieldCommand) start(ctx context.Context, field *soak.Field) error {
	if err := field.Configure(1); err != nil {
		return err
	}
	for _, service := range []string{"look", "pay"} {
		for i := range 2 {
			o := originserver.Options{ID: fmt.Sprint("i-", service, i), Slots: 4, Work: 5 * time.Millisecond}
			if err := field.AddServer(service, o); err != nil {
				return err
			}
		}
	}
	for range c.Gateways {
		n, err := field.AddGateway()
		if err != nil {
			return err
		}
		if err := errors.Join(field.Start(n), ready(ctx, field, n)); err != nil {
			return err
		}
	}
	return nil
}

func ready(ctx context.Context, field *soak.Field, n int) error {
	for !field.Ready(n) {
		if ctx.Err() != nil {
			return fmt.Errorf("%w: gateway %d is not ready: %w", ErrDemoFailed, n, ctx.Err())
		}
		time.Sleep(readyPause)
	}
	return nil
}

// sendAll sends requests to a gateway. Each must be answered, and each payment
// must have run once.
func sendAll(ctx context.Context, field *soak.Field, gateway, step int) (int, error) {
	answered := 0
	for i := range fieldRequests {
		id, path := fmt.Sprintf("step%d-%d", step, i), "/look/x"
		if i%2 == 0 {
			path = "/pay/x"
		}
		status, err := sendOne(ctx, field.ClientURL(gateway)+path, id)
		if err != nil {
			return answered, err
		}
		if status != http.StatusOK || len(field.Runs.ServersOf(id)) != 1 {
			return answered, fmt.Errorf("%w: %s got %d and ran on %v", ErrDemoFailed, id, status, field.Runs.ServersOf(id))
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
