package tillerctl

import (
	"errors"
	"fmt"
	"slices"
	"strconv"

	"bilberrytiller.example/tiller/coordination/change"
	"bilberrytiller.example/tiller/coordination/platform"
	"bilberrytiller.example/tiller/state/catalogue"
)

// errDiffers is the result of diff if it found differences.
var errDiffers = errors.New("entries differ")

type applyCommand struct {
	env  *env
	File string `long:"file" short:"f" required:"true" description:"file with one entry or a JSON array of entries; - for standard input"`
	ifVersion
}

// ifVersion is the flag of commands that change one entry.
type ifVersion struct {
	IfVersion *uint64 `long:"if-version" value-name:"VERSION" description:"write only if the entry is at this version; 0 if it must not exist yet"`
}

// setCondition makes the changes conditional on --if-version, if it is given.
func (c *ifVersion) setCondition(entries []change.DesiredEntry) {
	if c.IfVersion == nil {
		return
	}
	for i := range entries {
		entries[i].IfVersion, entries[i].StrictVersion = c.IfVersion, true
	}
}

// Execute writes the entries that differ from those in the platform.
func (c *applyCommand) Execute([]string) error {
	wanted, err := c.env.readEntries(c.File)
	if err != nil {
		return err
	}
	if c.IfVersion != nil {
		if len(wanted) != 1 {
			return &UsageError{Problem: fmt.Sprintf("--if-version applies to a single entry, but the file has %d", len(wanted))}
		}
		c.setCondition(wanted)
	}
	return c.env.applyChanges(func(platform.List) ([]change.DesiredEntry, error) { return wanted, nil })
}

type editCommand struct {
	env  *env
	Args struct {
		Entry       string   `positional-arg-name:"KIND.NAME" required:"yes"`
		Assignments []string `positional-arg-name:"FIELD=VALUE" required:"1"`
	} `positional-args:"yes"`
	ifVersion
}

// Execute changes fields of the entry.
func (c *editCommand) Execute([]string) error {
	id, err := entryArg{Entry: c.Args.Entry}.id()
	if err != nil {
		return err
	}
	return c.env.applyChanges(func(list platform.List) ([]change.DesiredEntry, error) {
		wanted, err := editedEntry(list, id, c.Args.Assignments)
		c.setCondition(wanted)
		return wanted, err
	})
}

func editedEntry(list platform.List, id catalogue.ID, assignments []string) ([]change.DesiredEntry, error) {
	current, ok := findEntry(list, id)
	if !ok {
		return nil, fmt.Errorf("%s: %w", id, platform.ErrNotFound)
	}
	data, err := change.Assign(current.Data, assignments)
	if err != nil {
		return nil, err
	}
	entry, err := catalogue.Decode(data)
	if err != nil {
		return nil, err
	}
	if entry.ID() != id {
		return nil, &catalogue.EntryError{ID: id, Field: "name", Err: fmt.Errorf("the kind and name of an entry cannot be changed: %w", catalogue.ErrConflict)}
	}
	wanted, err := newDesiredEntry(entry, nil)
	return []change.DesiredEntry{wanted}, err
}

func findEntry(list platform.List, id catalogue.ID) (platform.Object, bool) {
	i := slices.IndexFunc(list.Objects, func(o platform.Object) bool { return o.Name == id.String() })
	if i < 0 {
		return platform.Object{}, false
	}
	return list.Objects[i], true
}

type deleteCommand struct {
	env  *env
	Args entryArg `positional-args:"yes"`
	ifVersion
}

// Execute deletes the entry.
func (c *deleteCommand) Execute([]string) error {
	id, err := c.Args.id()
	if err != nil {
		return err
	}
	return c.env.applyChanges(func(platform.List) ([]change.DesiredEntry, error) {
		wanted := []change.DesiredEntry{{ID: id}}
		c.setCondition(wanted)
		return wanted, nil
	})
}

type drainCommand struct {
	env   *env
	drain bool
	Args  entryArg `positional-args:"yes"`
	Owner string   `long:"owner" default:"operators" description:"owner of the entry created for a host that has none"`
	ifVersion
}

// Execute sets or unsets drain in the entry.
func (c *drainCommand) Execute([]string) error {
	id, err := c.Args.id()
	if err != nil {
		return err
	}
	if !slices.Contains([]catalogue.Kind{catalogue.KindUpstream, catalogue.KindHost, catalogue.KindDataCentre}, id.Kind) {
		return &UsageError{Problem: fmt.Sprintf("%s cannot be drained, want an upstream, host or datacentre", id)}
	}
	return c.env.applyChanges(func(list platform.List) ([]change.DesiredEntry, error) {
		wanted, err := c.desired(list, id)
		c.setCondition(wanted)
		return wanted, err
	})
}

func (c *drainCommand) desired(list platform.List, id catalogue.ID) ([]change.DesiredEntry, error) {
	if _, ok := findEntry(list, id); !ok && id.Kind == catalogue.KindHost && c.drain {
		host := &catalogue.Host{Meta: catalogue.Meta{Schema: catalogue.SchemaVersion, Kind: id.Kind, Name: id.Name, Owner: c.Owner}, Drain: true}
		wanted, err := newDesiredEntry(host, nil)
		return []change.DesiredEntry{wanted}, err
	}
	return editedEntry(list, id, []string{"drain=" + strconv.FormatBool(c.drain)})
}

type diffCommand struct {
	env  *env
	File string `long:"file" short:"f" required:"true" description:"file with one entry or a JSON array of entries; - for standard input"`
}

// Execute prints what apply would change.
func (c *diffCommand) Execute([]string) error {
	wanted, err := c.env.readEntries(c.File)
	if err != nil {
		return err
	}
	p, err := c.env.platform()
	if err != nil {
		return err
	}
	list, err := p.List(c.env.ctx, platform.KindCatalogue)
	if err != nil {
		return fmt.Errorf("list catalogue entries: %w", err)
	}
	steps, err := change.Plan(list, wanted)
	if err != nil {
		return err
	}
	return c.env.printDiff(steps)
}

// entryDiff is the JSON form of one entry in a diff.
type entryDiff struct {
	Entry   string              `json:"entry"`
	Action  change.Action       `json:"action"`
	Version uint64              `json:"version"`
	Fields  []change.Difference `json:"fields"`
}

func (e *env) printDiff(steps []change.Step) error {
	diffs := []entryDiff{}
	for _, step := range steps {
		if step.Action == change.Unchanged {
			continue
		}
		fields, err := change.Differences(step.Base, step.Base, step.Data)
		if err != nil {
			return err
		}
		diffs = append(diffs, entryDiff{Entry: step.ID.String(), Action: step.Action, Version: step.Version, Fields: fields})
	}
	if err := e.printDiffs(diffs); err != nil {
		return err
	}
	if len(diffs) > 0 {
		return errDiffers
	}
	return nil
}

func (e *env) printDiffs(diffs []entryDiff) error {
	if e.json() {
		return printJSON(e.stdout, diffs)
	}
	rows := [][]string{}
	for _, d := range diffs {
		for _, f := range d.Fields {
			rows = append(rows, []string{d.Entry, string(d.Action), f.Field, orDash(f.Base), "->", orDash(f.Yours)})
		}
	}
	return printTable(e.stdout, rows)
}
