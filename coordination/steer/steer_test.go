package steer

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"runtime"
	"slices"
	"testing"

	"bilberrytiller.example/tiller/coordination/membership"
	"bilberrytiller.example/tiller/state/catalogue"
)

// blocksPerEntry is the number of address blocks in each catalogue entry.
const blocksPerEntry = 64

func siteName(i int) string { return fmt.Sprintf("site-%d", i) }

// prefix returns the i-th of a series of disjoint address blocks.
func prefix(i int) netip.Prefix {
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(10 + i>>16), byte(i >> 8), byte(i), 0}), 24)
}

// fleetView returns the view of host 0 on a fleet whose hosts are distributed
// evenly over the sites.
func fleetView(hosts, sites int) *membership.View {
	members := make([]membership.Member, hosts)
	for i := range members {
		members[i] = membership.Member{
			ID: fmt.Sprintf("host-%d", i), Incarnation: fmt.Sprintf("inc-%d", i),
			DataCentre: siteName(i % sites), Region: fmt.Sprintf("region-%d", i%sites%16),
			Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7400),
		}
	}
	return membership.NewView(members[0], members)
}

// blocksEntry returns the n-th blocks entry, with three sites for each block.
// A different shift selects other sites for the same blocks.
func blocksEntry(n, sites, shift int) *catalogue.Blocks {
	e := &catalogue.Blocks{Meta: catalogue.Meta{Schema: catalogue.SchemaVersion, Kind: catalogue.KindBlocks, Name: fmt.Sprintf("page-%d", n), Owner: "tests"}}
	for i := n * blocksPerEntry; i < (n+1)*blocksPerEntry; i++ {
		s := i + shift
		e.Blocks = append(e.Blocks, catalogue.Block{Prefix: prefix(i), Sites: []string{siteName(s % sites), siteName((s + 7) % sites), siteName((s + 31) % sites)}})
	}
	return e
}

func records(t testing.TB, count, sites int) []catalogue.Record {
	t.Helper()
	var out []catalogue.Record
	for n := range count / blocksPerEntry {
		out = append(out, record(t, blocksEntry(n, sites, 0), catalogue.Version(n+1)))
	}
	return out
}

func record(t testing.TB, e catalogue.Entry, version catalogue.Version) catalogue.Record {
	t.Helper()
	data, err := json.Marshal(e)
	if err != nil {
		t.Fatal(err)
	}
	r, err := catalogue.NewRecord(e.ID(), version, data)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func chosenSites(table *Table, client string) []string {
	c := table.Choose(netip.MustParseAddr(client))
	var sites []string
	for i := range c.Len() {
		sites = append(sites, c.Host(i).DataCentre)
	}
	return sites
}

func TestBlockSitesComeFirstInOrder(t *testing.T) {
	set, _ := catalogue.Empty().Merge(records(t, 64, 3))
	table := NewTable(set, fleetView(3, 3))
	for i, want := range [][]string{{"site-0", "site-1"}, {"site-1", "site-2"}, {"site-2", "site-0"}} {
		client := prefix(i).Addr().Next().String()
		if got := chosenSites(table, client)[:2]; !slices.Equal(got, want) {
			t.Errorf("client %s: got %v, want %v first", client, got, want)
		}
	}
	if got := chosenSites(table, "192.0.2.1"); got[0] != "site-0" {
		t.Errorf("client outside all blocks: got %v, want the daemon's own site first", got)
	}
}

func TestChangedEntryMovesOnlyItsBlocks(t *testing.T) {
	before, _ := catalogue.Empty().Merge(records(t, 128, 4))
	after, _ := before.Merge([]catalogue.Record{record(t, blocksEntry(0, 4, 1), 1000)})
	view := fleetView(4, 4)
	oldTable, newTable := NewTable(before, view), NewTable(after, view)
	for i := range 128 {
		client := prefix(i).Addr().Next().String()
		moved := !slices.Equal(chosenSites(oldTable, client), chosenSites(newTable, client))
		if moved != (i < blocksPerEntry) {
			t.Errorf("block %d: got moved = %t", i, moved)
		}
	}
	deleted, _ := after.Merge([]catalogue.Record{{ID: blocksEntry(0, 4, 0).ID(), Version: 1001, Deleted: true}})
	if got := deleted.Blocks().Size(); got != 64 {
		t.Errorf("%d blocks left after deleting an entry, want 64", got)
	}
}

func TestLeavingHostMovesOnlyItsOwnClients(t *testing.T) {
	set := catalogue.Empty()
	view := fleetView(5, 1)
	members := slices.Clone(view.Members())
	members[2].State = membership.Leaving
	before, after := NewTable(set, view), NewTable(set, membership.NewView(view.Self, members))
	counts := map[string]int{}
	for i := range 1000 {
		client := netip.AddrFrom4([4]byte{192, 0, byte(i >> 8), byte(i)})
		a, b := before.Choose(client), after.Choose(client)
		counts[a.Host(0).ID]++
		if a.Host(0).ID != "host-2" && a.Host(0).ID != b.Host(0).ID {
			t.Fatalf("client %v moved from %s to %s", client, a.Host(0).ID, b.Host(0).ID)
		}
		if b.Host(0).ID == "host-2" {
			t.Fatalf("client %v was sent to the leaving host", client)
		}
	}
	for id, n := range counts {
		if n < 100 {
			t.Errorf("%s got %d of 1000 clients, want at least 100", id, n)
		}
	}
}

func TestChooseAllocatesNothing(t *testing.T) {
	set, _ := catalogue.Empty().Merge(records(t, 1024, 100))
	table := NewTable(set, fleetView(300, 100))
	client := prefix(5).Addr().Next()
	if n := testing.AllocsPerRun(1000, func() { _ = table.Choose(client) }); n != 0 {
		t.Fatalf("Choose made %g allocations per call, want 0", n)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{1_000, 10_000, 100_000, 240_000} {
		b.Run(fmt.Sprintf("blocks=%d", count), func(b *testing.B) {
			before := heapBytes()
			set, _ := catalogue.Empty().Merge(records(b, count, 1_900))
			perBlock := float64(heapBytes()-before) / float64(count)
			table := NewTable(set, fleetView(5_500, 1_900))
			clients := make([]netip.Addr, 4096)
			for i := range clients {
				clients[i] = prefix(i * 7919 % count).Addr().Next()
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				_ = table.Choose(clients[i%len(clients)])
			}
			b.ReportMetric(perBlock, "B/block")
			runtime.KeepAlive(set)
		})
	}
}

// BenchmarkRebuild measures merging a changed entry and rebuilding the table.
func BenchmarkRebuild(b *testing.B) {
	for _, count := range []int{1_000, 10_000, 100_000, 240_000} {
		b.Run(fmt.Sprintf("blocks=%d", count), func(b *testing.B) {
			set, _ := catalogue.Empty().Merge(records(b, count, 1_900))
			view := fleetView(5_500, 1_900)
			changed := record(b, blocksEntry(0, 1_900, 1), 1<<40)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				next, _ := set.Merge([]catalogue.Record{changed})
				_ = NewTable(next, view)
			}
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
