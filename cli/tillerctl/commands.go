package tillerctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"

	"bilberrytiller.example/tiller/coordination/platform"
	"bilberrytiller.example/tiller/protocol/operatorapi"
	"bilberrytiller.example/tiller/state/catalogue"
	"bilberrytiller.example/tiller/transport/peer"
)

func commands(e *env) []command {
	return []command{
		{"get", "print an entry", "Prints one entry.\n\nExample: tillerctl get service.stock-lookup", &getCommand{env: e}},
		{"list", "list entries", "Lists entries.\n\nExample: tillerctl list upstream", &listCommand{env: e}},
		{"apply", "create or change entries", "Writes the entries of a file, each at the version it was read at.\n\nExample: tillerctl apply -f catalogue.json", &applyCommand{env: e}},
		{"delete", "delete an entry", "Deletes one entry.\n\nExample: tillerctl delete upstream.stock-1", &deleteCommand{env: e}},
		{"status", "show what daemons know", "Shows the members and the catalogue version that each daemon knows.\n\nExample: tillerctl --daemon 10.0.0.1:7402 status", &statusCommand{env: e}},
	}
}

func exitCode(err error) int {
	var flagErr *flags.Error
	var usage *UsageError
	var conflict *platform.ConflictError
	var invalid *catalogue.EntryError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &flagErr), errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &conflict):
		return exitConflict
	case errors.Is(err, platform.ErrNotFound):
		return exitNotFound
	case errors.As(err, &invalid):
		return exitInvalid
	}
	return exitFailed
}

type entryArg struct {
	Entry string `positional-arg-name:"KIND.NAME" required:"yes"`
}

type getCommand struct {
	env  *env
	Args entryArg `positional-args:"yes"`
}

// Execute prints the entry.
func (c *getCommand) Execute([]string) error {
	p, err := c.env.platform()
	if err != nil {
		return err
	}
	obj, err := p.Get(c.env.ctx, platform.KindCatalogue, c.Args.Entry)
	if err != nil {
		return fmt.Errorf("get %s: %w", c.Args.Entry, err)
	}
	fmt.Fprintf(c.env.stdout, "%s\n", obj.Data)
	return nil
}

type listCommand struct {
	env  *env
	Args struct {
		Kind string `positional-arg-name:"KIND"`
	} `positional-args:"yes"`
}

// Execute lists the entries.
func (c *listCommand) Execute([]string) error {
	p, err := c.env.platform()
	if err != nil {
		return err
	}
	list, err := p.List(c.env.ctx, platform.KindCatalogue)
	if err != nil {
		return fmt.Errorf("list: %w", err)
	}
	objects := slices.DeleteFunc(list.Objects, func(o platform.Object) bool {
		return c.Args.Kind != "" && !strings.HasPrefix(o.Name, c.Args.Kind+".")
	})
	slices.SortFunc(objects, func(a, b platform.Object) int { return strings.Compare(a.Name, b.Name) })
	if c.env.opts.Output == "json" {
		return printJSON(c.env.stdout, objects)
	}
	return printObjects(c.env.stdout, objects)
}

func printObjects(w io.Writer, objects []platform.Object) error {
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "ENTRY\tVERSION\tOWNER")
	for _, o := range objects {
		var meta catalogue.Meta
		if err := json.Unmarshal(o.Data, &meta); err != nil {
			return &catalogue.EntryError{Err: err}
		}
		fmt.Fprintf(table, "%s\t%d\t%s\n", o.Name, o.Version, meta.Owner)
	}
	return table.Flush()
}

type applyCommand struct {
	env  *env
	File string `long:"file" short:"f" required:"true" description:"file with one entry or a JSON array of entries; - for standard input"`
}

// Execute writes the entries that differ from what the platform holds.
func (c *applyCommand) Execute([]string) error {
	p, err := c.env.platform()
	if err != nil {
		return err
	}
	entries, err := readEntries(c.File)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		if err := c.apply(p, entry); err != nil {
			return err
		}
	}
	return nil
}

func (c *applyCommand) apply(p platform.Client, entry catalogue.Entry) error {
	name := entry.ID().String()
	data, err := catalogue.Encode(entry)
	if err != nil {
		return err
	}
	current, err := p.Get(c.env.ctx, platform.KindCatalogue, name)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return fmt.Errorf("apply %s: %w", name, err)
	}
	version, err := p.Put(c.env.ctx, platform.KindCatalogue, name, current.Version, data)
	if err != nil {
		return fmt.Errorf("apply %s: %w", name, err)
	}
	fmt.Fprintf(c.env.stdout, "%s version %d\n", name, version)
	return nil
}

func readEntries(file string) ([]catalogue.Entry, error) {
	data, err := readFile(file)
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", file, err)
	}
	raw := []json.RawMessage{data}
	if strings.HasPrefix(strings.TrimSpace(string(data)), "[") {
		raw = nil
		if err := json.Unmarshal(data, &raw); err != nil {
			return nil, &catalogue.EntryError{Err: err}
		}
	}
	entries := make([]catalogue.Entry, 0, len(raw))
	for _, one := range raw {
		entry, err := catalogue.Decode(one)
		if err != nil {
			return nil, err
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

func readFile(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(file)
}

type deleteCommand struct {
	env  *env
	Args entryArg `positional-args:"yes"`
}

// Execute deletes the entry at the version it stands at.
func (c *deleteCommand) Execute([]string) error {
	p, err := c.env.platform()
	if err != nil {
		return err
	}
	current, err := p.Get(c.env.ctx, platform.KindCatalogue, c.Args.Entry)
	if err != nil {
		return fmt.Errorf("delete %s: %w", c.Args.Entry, err)
	}
	if err := p.Delete(c.env.ctx, platform.KindCatalogue, c.Args.Entry, current.Version); err != nil {
		return fmt.Errorf("delete %s: %w", c.Args.Entry, err)
	}
	fmt.Fprintf(c.env.stdout, "%s deleted\n", c.Args.Entry)
	return nil
}

type statusCommand struct{ env *env }

// Execute prints what each daemon knows.
func (c *statusCommand) Execute([]string) error {
	if len(c.env.opts.Daemons) == 0 {
		return &UsageError{Flag: "daemon", Env: "TILLER_DAEMONS"}
	}
	var all []operatorapi.Status
	for _, addr := range c.env.opts.Daemons {
		var status operatorapi.Status
		if err := c.env.read(addr, operatorapi.PathStatus, &status); err != nil {
			return err
		}
		all = append(all, status)
	}
	if c.env.opts.Output == "json" {
		return printJSON(c.env.stdout, all)
	}
	table := tabwriter.NewWriter(c.env.stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "HOST\tDATA CENTRE\tREGION\tCATALOGUE\tMEMBERS\tLEAVING")
	for _, s := range all {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%t\n", s.Host, s.DataCentre, s.Region, s.CatalogueVersion, len(s.Members), s.Leaving)
	}
	return table.Flush()
}

// DaemonError is an unexpected answer of a daemon.
type DaemonError struct {
	Address string
	Status  int
}

func (e *DaemonError) Error() string {
	return fmt.Sprintf("daemon %s answered %d", e.Address, e.Status)
}

// read gets a page of a daemon's operators' listener.
func (e *env) read(addr, path string, into any) error {
	req, err := http.NewRequestWithContext(e.ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return fmt.Errorf("daemon %s: %w", addr, err)
	}
	auth := peer.NewAuth("tillerctl", []byte(e.opts.Secret))
	req.Header.Set(peer.HeaderAuth, auth.Token(time.Now()))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("daemon %s: %w", addr, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &DaemonError{Address: addr, Status: resp.StatusCode}
	}
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		return fmt.Errorf("daemon %s: %w", addr, err)
	}
	return nil
}

func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
