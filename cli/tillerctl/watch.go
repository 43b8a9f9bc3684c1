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
	watchRetry = time.Second
	waitPeriod = 100 * time.Millisecond
)

// TimeoutError says what had not come about when the time was over.
type TimeoutError struct {
	After   time.Duration
	Pending []string
}

func (e *TimeoutError) Error() string {
	return fmt.Sprintf("timed out after %v: %s", e.After, strings.Join(e.Pending, "; "))
}

type watchCommand struct {
	env     *env
	Count   int           `long:"count" value-name:"COUNT" description:"end after this many changes"`
	Timeout time.Duration `long:"timeout" value-name:"DURATION" description:"end after this time, such as 30s"`
	After   *uint64       `long:"after" value-name:"VERSION" description:"print the changes after this version, not only those to come"`
}

// Execute prints changes as they happen.
func (c *watchCommand) Execute([]string) error {
	p, err := c.env.platform()
	if err != nil {
		return err
	}
	ctx, cancel := c.env.timeout(c.Timeout)
	defer cancel()
	after, err := c.start(ctx, p)
	if err != nil {
		return err
	}
	seen := 0
	for ctx.Err() == nil && (c.Count == 0 || seen < c.Count) {
		changes, err := p.Watch(ctx, platform.KindCatalogue, after)
		switch {
		case errors.Is(err, platform.ErrTooOld):
			return fmt.Errorf("watch: %w", err)
		case err != nil && ctx.Err() == nil:
			fmt.Fprintln(c.env.stderr, "tillerctl: trying again:", err)
			sleep.For(ctx, watchRetry)
		}
		if err := c.print(changes.Events, &seen); err != nil {
			return err
		}
		after = max(after, changes.Version)
	}
	if c.Count > 0 && seen < c.Count && c.env.ctx.Err() == nil {
		return &TimeoutError{After: c.Timeout, Pending: []string{fmt.Sprintf("%d of %d changes came", seen, c.Count)}}
	}
	return nil
}

// start returns the version whose changes to print from.
func (c *watchCommand) start(ctx context.Context, p platform.Client) (uint64, error) {
	if c.After != nil {
		return *c.After, nil
	}
	list, err := p.List(ctx, platform.KindCatalogue)
	if err != nil {
		return 0, fmt.Errorf("list: %w", err)
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
		what := "written"
		if e.Deleted {
			what = "deleted"
		}
		fmt.Fprintln(c.env.stdout, e.Object.Name, "version", e.Object.Version, what)
	}
	return nil
}

// timeout returns a context that ends after a time, or with the process if
// the time is 0.
func (e *env) timeout(t time.Duration) (context.Context, context.CancelFunc) {
	if t == 0 {
		return context.WithCancel(e.ctx)
	}
	return context.WithTimeout(e.ctx, t)
}
