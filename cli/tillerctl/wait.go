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
	Timeout time.Duration `long:"timeout" value-name:"DURATION" default:"30s" description:"how long to wait"`
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
			return c.done(want, len(daemons))
		}
		line.show(fmt.Sprintf("waiting for %d of %d daemons: %s", len(missing), len(daemons), missing[0]))
		if !sleep.For(ctx, waitPeriod) {
			line.end()
			if c.env.ctx.Err() != nil {
				return c.env.ctx.Err()
			}
			return &TimeoutError{After: c.Timeout, Pending: missing}
		}
	}
}

// inForce is the JSON form of what a wait has come to.
type inForce struct {
	Version uint64 `json:"version"`
	Daemons int    `json:"daemons"`
}

func (c *waitCommand) done(want target, daemons int) error {
	if c.env.json() {
		return printJSON(c.env.stdout, inForce{Version: want.version, Daemons: daemons})
	}
	fmt.Fprintf(c.env.stdout, "version %d is in force on %d daemons\n", want.version, daemons)
	return nil
}

// target is what daemons are to have in force: each entry at least at its
// version, and no other entry that is not newer. Without entries it is only
// the version.
type target struct {
	version uint64
	// asOf is the version of the list that the target was made from.
	asOf    uint64
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
	want := target{asOf: list.Version, entries: map[string]uint64{}, invalid: map[string]bool{}}
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
		for _, lack := range want.lacks(entries) {
			out = append(out, "daemon "+d.Address()+" "+lack)
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

// lacks says what the entries in force at a daemon lack, if anything.
func (t target) lacks(entries []operatorapi.Entry) []string {
	held := map[string]operatorapi.Entry{}
	newest := uint64(0)
	for _, e := range entries {
		held[e.Entry] = e
		newest = max(newest, e.Version)
	}
	if newest < t.version {
		return []string{fmt.Sprintf("lacks version %d, it has %d", t.version, newest)}
	}
	var out []string
	for name, version := range t.entries {
		if held[name].Version < version {
			out = append(out, fmt.Sprintf("lacks %s version %d, it has %d", name, version, held[name].Version))
		}
	}
	for _, e := range entries {
		if t.gone(e) {
			out = append(out, "still has "+e.Entry)
		}
	}
	slices.Sort(out)
	return out
}

// gone reports whether an entry in force was deleted in the platform.
func (t target) gone(e operatorapi.Entry) bool {
	listed := t.entries == nil || t.entries[e.Entry] != 0 || t.invalid[e.Entry]
	return !listed && !e.Deleted && e.Version <= t.asOf
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
