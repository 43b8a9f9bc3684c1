package tillerctl

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"bilberrytiller.example/tiller/coordination/platform"
	"bilberrytiller.example/tiller/internal/sleep"
)

const (
	watchRetryDelay  = time.Second
	waitPollInterval = 100 * time.Millisecond
)

// TimeoutError means that a command timed out. Pending lists what was still
// missing.
type TimeoutError struct {
	After   time.Duration
	Pending []string
}

func (e *TimeoutError) Error() string {
	return fmt.Sprintf("timed out after %v: %s", e.After, strings.Join(e.Pending, "; "))
}

type watchCommand struct {
	env     *env
	Count   int           `long:"count" value-name:"COUNT" description:"exit after this many changes"`
	Timeout time.Duration `long:"timeout" value-name:"DURATION" description:"exit after this time, such as 30s"`
	After   *uint64       `long:"after" value-name:"VERSION" description:"start with the changes after this version instead of with new ones"`
}

// Execute prints changes as they happen.
func (c *watchCommand) Execute([]string) error {
	p, err := c.env.platform()
	if err != nil {
		return err
	}
	ctx, cancel := c.env.timeout(c.Timeout)
	defer cancel()
	after, err := c.startVersion(ctx, p)
	if err != nil {
		return err
	}
	seen := 0
	for ctx.Err() == nil && (c.Count == 0 || seen < c.Count) {
		changes, err := p.Watch(ctx, platform.KindCatalogue, after)
		switch {
		case errors.Is(err, platform.ErrTooOld):
			return fmt.Errorf("watch catalogue entries: %w", err)
		case err != nil && ctx.Err() == nil:
			fmt.Fprintln(c.env.stderr, "tillerctl: watch failed, retrying:", err)
			sleep.For(ctx, watchRetryDelay)
		}
		if err := c.print(changes.Events, &seen); err != nil {
			return err
		}
		after = max(after, changes.Version)
	}
	if c.Count > 0 && seen < c.Count && c.env.ctx.Err() == nil {
		return &TimeoutError{After: c.Timeout, Pending: []string{fmt.Sprintf("received %d of %d changes", seen, c.Count)}}
	}
	return nil
}

// startVersion returns the version after which changes are printed.
func (c *watchCommand) startVersion(ctx context.Context, p platform.Client) (uint64, error) {
	if c.After != nil {
		return *c.After, nil
	}
	list, err := p.List(ctx, platform.KindCatalogue)
	if err != nil {
		return 0, fmt.Errorf("list catalogue entries: %w", err)
	}
	return list.Version, nil
}

func (c *watchCommand) print(events []platform.Event, seen *int) error {
	for _, e := range events {
		if c.Count > 0 && *seen == c.Count {
			return nil
		}
		*seen++
		if c.env.json() {
			if err := printJSON(c.env.stdout, e); err != nil {
				return err
			}
			continue
		}
		action := "written"
		if e.Deleted {
			action = "deleted"
		}
		fmt.Fprintln(c.env.stdout, e.Object.Name, "version", e.Object.Version, action)
	}
	return nil
}

// timeout returns a context that ends after t, or only with the process if t is 0.
func (e *env) timeout(t time.Duration) (context.Context, context.CancelFunc) {
	if t == 0 {
		return context.WithCancel(e.ctx)
	}
	return context.WithTimeout(e.ctx, t)
}
