package tillerctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"bilberrytiller.example/tiller/coordination/membership"
	"bilberrytiller.example/tiller/coordination/platform"
	"bilberrytiller.example/tiller/state/catalogue"
	"bilberrytiller.example/tiller/transport/operatorhttp"
)

const (
	watchRetry = time.Second
	waitPeriod = 100 * time.Millisecond
)

// TimeoutError says what had not come about when the time was over.
type TimeoutError struct {
	After   time.Duration
	Missing []string
}

func (e *TimeoutError) Error() string {
	return fmt.Sprintf("timed out after %v: %s", e.After, strings.Join(e.Missing, "; "))
}

type watchCommand struct {
	env     *env
	Count   int           `long:"count" description:"end after this many changes"`
	Timeout time.Duration `long:"timeout" description:"end after this time, such as 30s"`
}

// Execute prints changes as they happen.
func (c *watchCommand) Execute([]string) error {
	p, err := c.env.platform()
	if err != nil {
		return err
	}
	ctx, cancel := c.env.timeout(c.Timeout)
	defer cancel()
	list, err := p.List(ctx, platform.KindCatalogue)
	if err != nil {
		return fmt.Errorf("list: %w", err)
	}
	after, seen := list.Version, 0
	for ctx.Err() == nil && (c.Count == 0 || seen < c.Count) {
		changes, err := p.Watch(ctx, platform.KindCatalogue, after)
		switch {
		case errors.Is(err, platform.ErrTooOld):
			return fmt.Errorf("watch: %w", err)
		case err != nil && ctx.Err() == nil:
			fmt.Fprintln(c.env.stderr, "tillerctl: trying again:", err)
			pause(ctx, watchRetry)
		}
		if err := c.print(changes.Events, &seen); err != nil {
			return err
		}
		after = max(after, changes.Version)
	}
	if c.Count > 0 && seen < c.Count && c.env.ctx.Err() == nil {
		return &TimeoutError{After: c.Timeout, Missing: []string{fmt.Sprintf("%d of %d changes came", seen, c.Count)}}
	}
	return nil
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

type waitCommand struct {
	env     *env
	Timeout time.Duration `long:"timeout" default:"30s" description:"how long to wait"`
	Members int           `long:"members" value-name:"COUNT" description:"wait also until each daemon sees this many members alive"`
	Args    struct {
		Version string `positional-arg-name:"VERSION"`
	} `positional-args:"yes"`
}

// Execute waits until every daemon has the entries in force.
func (c *waitCommand) Execute([]string) error {
	daemons, err := c.env.needDaemons()
	if err != nil {
		return err
	}
	want, err := c.target()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.env.ctx, c.Timeout)
	defer cancel()
	line := &progress{file: c.env.stderr}
	for {
		missing := c.missing(ctx, daemons, want)
		if len(missing) == 0 {
			line.end()
			fmt.Fprintf(c.env.stdout, "version %d is in force on %d daemons\n", want.version, len(daemons))
			return nil
		}
		line.show(fmt.Sprintf("waiting for %d of %d daemons: %s", len(missing), len(daemons), missing[0]))
		if !pause(ctx, waitPeriod) {
			line.end()
			return &TimeoutError{After: c.Timeout, Missing: missing}
		}
	}
}

// target is what daemons are to have in force: each entry at least at its
// version, and no entry beyond those that is not newer.
type target struct {
	version uint64
	entries map[string]uint64
	// invalid names the objects that daemons skip.
	invalid map[string]bool
}

func (c *waitCommand) target() (target, error) {
	if c.Args.Version != "" {
		version, err := strconv.ParseUint(c.Args.Version, 10, 64)
		if err != nil {
			return target{}, &UsageError{Problem: fmt.Sprintf("%q is no version", c.Args.Version)}
		}
		return target{version: version}, nil
	}
	p, err := c.env.platform()
	if err != nil {
		return target{}, err
	}
	list, err := p.List(c.env.ctx, platform.KindCatalogue)
	if err != nil {
		return target{}, fmt.Errorf("list: %w", err)
	}
	want := target{entries: map[string]uint64{}, invalid: map[string]bool{}}
	for _, obj := range list.Objects {
		if _, err := catalogue.Decode(obj.Data); err != nil {
			fmt.Fprintf(c.env.stderr, "tillerctl: not waiting for version %d of %s: %v\n", obj.Version, obj.Name, err)
			want.invalid[obj.Name] = true
			continue
		}
		want.entries[obj.Name] = obj.Version
		want.version = max(want.version, obj.Version)
	}
	return want, nil
}

// missing says which daemons lack what.
func (c *waitCommand) missing(ctx context.Context, daemons []*operatorhttp.Client, want target) []string {
	var out []string
	for _, d := range daemons {
		entries, err := d.Entries(ctx)
		if err != nil {
			out = append(out, err.Error())
			continue
		}
		held := map[string]uint64{}
		newest := uint64(0)
		for _, e := range entries {
			newest = max(newest, e.Version)
			if e.Deleted || want.entries[e.Entry] != 0 || want.invalid[e.Entry] || e.Version > want.version {
				held[e.Entry] = e.Version
				continue
			}
			if want.entries != nil {
				out = append(out, fmt.Sprintf("daemon %s still has %s", d.Address(), e.Entry))
			}
		}
		if lacking := want.lacking(held, newest); lacking != "" {
			out = append(out, fmt.Sprintf("daemon %s lacks %s", d.Address(), lacking))
		}
		if seen := c.alive(ctx, d); seen < c.Members {
			out = append(out, fmt.Sprintf("daemon %s sees %d of %d members alive", d.Address(), seen, c.Members))
		}
	}
	return out
}

// alive counts the members that a daemon sees alive, where that is asked for.
func (c *waitCommand) alive(ctx context.Context, d *operatorhttp.Client) int {
	if c.Members == 0 {
		return 0
	}
	status, err := d.Status(ctx)
	if err != nil {
		return 0
	}
	count := 0
	for _, m := range status.Members {
		if m.State == membership.Alive.String() {
			count++
		}
	}
	return count
}

// lacking names the first entry that is behind, or "".
func (t target) lacking(held map[string]uint64, newest uint64) string {
	if newest < t.version {
		return fmt.Sprintf("version %d, it has %d", t.version, newest)
	}
	var names []string
	for name, version := range t.entries {
		if held[name] < version {
			names = append(names, fmt.Sprintf("%s version %d, it has %d", name, version, held[name]))
		}
	}
	if len(names) == 0 {
		return ""
	}
	return slices.Min(names)
}

// progress shows one line that is written over, on terminals only.
type progress struct {
	file  io.Writer
	shown int
}

func (p *progress) terminal() (*os.File, bool) {
	f, ok := p.file.(*os.File)
	if !ok {
		return nil, false
	}
	info, err := f.Stat()
	return f, err == nil && info.Mode()&os.ModeCharDevice != 0
}

func (p *progress) show(text string) {
	if f, ok := p.terminal(); ok {
		fmt.Fprintf(f, "\r%-*s", p.shown, text)
		p.shown = max(p.shown, len(text))
	}
}

func (p *progress) end() {
	if f, ok := p.terminal(); ok && p.shown > 0 {
		fmt.Fprintf(f, "\r%*s\r", p.shown, "")
	}
}
