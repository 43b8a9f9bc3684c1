package catalogue_test

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"bilberrytiller.example/tiller/state/catalogue"
)

func TestMain(m *testing.M) {
	// Flags on the command line are parsed later and override these.
	for name, value := range map[string]string{"rapid.seed": "20", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// drawBlocks draws a version of one of three entries with blocks. Entries may share blocks.
func drawBlocks(t *rapid.T, version int) catalogue.Record {
	id := catalogue.ID{Kind: catalogue.KindBlocks, Name: fmt.Sprint("b", rapid.IntRange(1, 3).Draw(t, "entry"))}
	if rapid.IntRange(0, 5).Draw(t, "deleted") == 0 {
		return catalogue.Record{ID: id, Version: catalogue.Version(version), Deleted: true}
	}
	var list []string
	for i := range 4 {
		if rapid.Bool().Draw(t, "contains") {
			list = append(list, fmt.Sprintf(`{"prefix":"10.0.%d.0/24","sites":["site-%d"]}`, i, version))
		}
	}
	data := fmt.Sprintf(`{"schema":1,"kind":"blocks","name":%q,"owner":"o","blocks":[%s]}`, id.Name, strings.Join(list, ","))
	r, err := catalogue.NewRecord(id, catalogue.Version(version), []byte(data))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// siteOf returns the site of a block by the definition: that of the latest entry that has it.
func siteOf(records map[catalogue.ID]catalogue.Record, prefix netip.Prefix) string {
	site, version := "", catalogue.Version(0)
	for _, r := range records {
		entry, ok := r.Decoded().(*catalogue.Blocks)
		if !ok || r.Version < version {
			continue
		}
		for _, b := range entry.Blocks {
			if b.Prefix == prefix {
				site, version = b.Sites[0], r.Version
			}
		}
	}
	return site
}

// TestBlocksDependOnRecordsOnly guards against blocks that are lost when they move to
// another entry, against those of replaced versions, and against daemons that have the same
// records and disagree, since these came in another order or together.
func TestBlocksDependOnRecordsOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := catalogue.Empty()
		var records []catalogue.Record
		for version := range rapid.IntRange(1, 12).Draw(t, "versions") {
			records = append(records, drawBlocks(t, version+1))
		}
		order := rapid.Permutation(records).Draw(t, "order")
		for len(order) > 0 {
			n := rapid.IntRange(1, len(order)).Draw(t, "together")
			set, _ = set.Merge(order[:n])
			order = order[n:]
		}
		latest := map[catalogue.ID]catalogue.Record{}
		for _, r := range records {
			latest[r.ID] = r
		}
		size := 0
		for i := range 4 {
			prefix := netip.MustParsePrefix(fmt.Sprintf("10.0.%d.0/24", i))
			want := siteOf(latest, prefix)
			list, found := set.Blocks().Lookup(prefix.Addr())
			if found != (want != "") || found && slices.Collect(list.All())[0] != want {
				t.Fatalf("block %v is at %v (%v), want %q", prefix, list, found, want)
			}
			if found {
				size++
			}
		}
		if set.Blocks().Size() != size {
			t.Fatalf("got %d blocks, want %d", set.Blocks().Size(), size)
		}
	})
}
