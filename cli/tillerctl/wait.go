package tillerctl

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"time"

	"bilberrytiller.example/tiller/coordination/membership"
	"bilberrytiller.example/tiller/coordination/platform"
	"bilberrytiller.example/tiller/internal/sleep"
	"bilberrytiller.example/tiller/protocol/operatorapi"
	"bilberrytiller.example/tiller/state/catalogue"
	"bilberrytiller.example/tiller/transport/operatorhttp"
)

type waitCommand struct {
	env     *env
	Timeout time.Duration `long:"timeout" value-name:"DURATION" default:"30s" description:"longest time to wait"`
	Members int           `long:"members" value-name:"COUNT" description:"also wait until each daemon sees this many members alive"`
	Args    struct {
		Version string `positional-arg-name:"VERSION"`
	} `positional-args:"yes"`
}

// minFirstRoundTime is the time that the daemons have for their first answers, also if the
// wait is shorter.
const minFirstRoundTime = 5 * time.Second

// Execute waits until every daemon has the target in force.
func (c *waitCommand) Execute([]string) error {
	daemons, err := c.env.requireDaemons()
	if err != nil {
		return err
	}
	want, err := c.target()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.env.ctx, c.Timeout)
	defer cancel()
	status := &progressLine{file: c.env.stderr}
	// The first round may outlast the timeout, so that there is something to report.
	firstCtx, cancelFirst := context.WithTimeout(c.env.ctx, max(c.Timeout, minFirstRoundTime))
	defer cancelFirst()
	missing := c.unmet(firstCtx, daemons, want)
	for {
		if len(missing) == 0 {
			status.clear()
			return c.printResult(want, len(daemons))
		}
		status.update(fmt.Sprintf("waiting for %d of %d daemons: %s", len(missing), len(daemons), missing[0]))
		if !sleep.For(ctx, waitPollInterval) {
			status.clear()
			if c.env.ctx.Err() != nil {
				return c.env.ctx.Err()
			}
			return &TimeoutError{After: c.Timeout, Pending: missing}
		}
		// A round that the timeout cuts off says nothing of the daemons.
		if latest := c.unmet(ctx, daemons, want); ctx.Err() == nil || len(latest) == 0 {
			missing = latest
		}
	}
}

// waitResult is the JSON form of the result of a wait.
type waitResult struct {
	Version uint64 `json:"version"`
	Daemons int    `json:"daemons"`
}

func (c *waitCommand) printResult(want target, daemons int) error {
	if c.env.json() {
		return printJSON(c.env.stdout, waitResult{Version: want.version, Daemons: daemons})
	}
	fmt.Fprintf(c.env.stdout, "version %d is in force on %d daemons\n", want.version, daemons)
	return nil
}

// target is what each daemon must have in force: every entry at its version or a
// later one, and no other entry that is as old as the list or older. A target
// without entries requires only the version.
type target struct {
	version uint64
	// listVersion is the version of the list from which the target was built.
	listVersion uint64
	entries     map[string]uint64
	// invalid contains the names of invalid objects, which daemons ignore.
	invalid map[string]bool
}

func (c *waitCommand) target() (target, error) {
	if c.Args.Version != "" {
		version, err := strconv.ParseUint(c.Args.Version, 10, 64)
		if err != nil {
			return target{}, &UsageError{Problem: fmt.Sprintf("VERSION %q is not a number", c.Args.Version)}
		}
		return target{version: version}, nil
	}
	p, err := c.env.platform()
	if err != nil {
		return target{}, err
	}
	list, err := p.List(c.env.ctx, platform.KindCatalogue)
	if err != nil {
		return target{}, fmt.Errorf("list catalogue entries: %w", err)
	}
	want := target{listVersion: list.Version, entries: map[string]uint64{}, invalid: map[string]bool{}}
	for _, obj := range list.Objects {
		if _, err := catalogue.Decode(obj.Data); err != nil {
			fmt.Fprintf(c.env.stderr, "tillerctl: not waiting for invalid version %d of %s: %v\n", obj.Version, obj.Name, err)
			want.invalid[obj.Name] = true
			continue
		}
		want.entries[obj.Name] = obj.Version
		want.version = max(want.version, obj.Version)
	}
	return want, nil
}

// unmet describes what each daemon does not have in force yet, the members that it
// does not see alive, and the daemons that gave no usable answer.
func (c *waitCommand) unmet(ctx context.Context, daemons []*operatorhttp.Client, want target) []string {
	var out []string
	for _, d := range daemons {
		entries, err := d.Entries(ctx)
		if err != nil {
			out = append(out, err.Error())
			continue
		}
		for _, gap := range want.missing(entries) {
			out = append(out, "daemon "+d.Address()+" "+gap)
		}
		if alive := c.countAlive(ctx, d); alive < c.Members {
			out = append(out, fmt.Sprintf("daemon %s sees %d of %d members alive", d.Address(), alive, c.Members))
		}
	}
	return out
}

// countAlive returns the number of members that a daemon sees alive. It returns 0
// if --members is not set or the daemon cannot be reached.
func (c *waitCommand) countAlive(ctx context.Context, d *operatorhttp.Client) int {
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

// missing describes how the entries in force on a daemon fall short of the target.
func (t target) missing(entries []operatorapi.Entry) []string {
	inForce := map[string]operatorapi.Entry{}
	newest := uint64(0)
	for _, e := range entries {
		inForce[e.Entry] = e
		newest = max(newest, e.Version)
	}
	if newest < t.version {
		return []string{fmt.Sprintf("lacks version %d, it has %d", t.version, newest)}
	}
	var out []string
	for name, version := range t.entries {
		if inForce[name].Version < version {
			out = append(out, fmt.Sprintf("lacks %s version %d, it has %d", name, version, inForce[name].Version))
		}
	}
	for _, e := range entries {
		if t.wasDeleted(e) {
			out = append(out, "still has deleted entry "+e.Entry)
		}
	}
	slices.Sort(out)
	return out
}

// wasDeleted reports whether an entry in force on a daemon has been deleted in the
// platform.
func (t target) wasDeleted(e operatorapi.Entry) bool {
	listed := t.entries == nil || t.entries[e.Entry] != 0 || t.invalid[e.Entry]
	return !listed && !e.Deleted && e.Version <= t.listVersion
}

// progressLine shows a status line that is overwritten in place. It writes only to
// terminals.
type progressLine struct {
	file  io.Writer
	width int
}

func (p *progressLine) terminal() (*os.File, bool) {
	f, ok := p.file.(*os.File)
	if !ok {
		return nil, false
	}
	info, err := f.Stat()
	return f, err == nil && info.Mode()&os.ModeCharDevice != 0
}

func (p *progressLine) update(text string) {
	if f, ok := p.terminal(); ok {
		fmt.Fprintf(f, "\r%-*s", p.width, text)
		p.width = max(p.width, len(text))
	}
}

func (p *progressLine) clear() {
	if f, ok := p.terminal(); ok && p.width > 0 {
		fmt.Fprintf(f, "\r%*s\r", p.width, "")
	}
}
