package proofs

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	tiller "bilberrytiller.example/tiller/coordination/platform"
	"bilberrytiller.example/tiller/protocol/operatorapi"
	"bilberrytiller.example/tiller/state/catalogue"
	"bilberrytiller.example/tiller/state/request"

	"bilberrytiller.example/standin/fleet"
	"bilberrytiller.example/standin/platform"
	"bilberrytiller.example/standin/relay"
)

const changedEntry = "service.lookups"

// change writes a new version of one entry and returns the version.
func change(f *fleet.Fleet, deadline time.Duration) uint64 {
	entry := fleet.Service("lookups", request.RankLookup, true)
	entry.Class.Deadline = catalogue.Duration(deadline)
	return f.Apply(&entry)
}

// inForce waits until every running daemon but those given has a version of
// the catalogue, or a later one, in force.
func inForce(t *testing.T, f *fleet.Fleet, version uint64, but ...*fleet.Host) {
	t.Helper()
	everywhere(t, f, "change is in force", func(s operatorapi.Status) bool { return s.CatalogueVersion >= version }, but...)
}

// neverBelow fails the test if a daemon put an older version of the changed
// entry in force after a later one.
func neverBelow(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	for _, h := range f.Hosts {
		var last uint64
		for line := range strings.SplitSeq(h.Log(), "\n") {
			if logField(line, "event") != "catalogue.in-force" || logField(line, "entry") != changedEntry {
				continue
			}
			version, err := strconv.ParseUint(logField(line, "version"), 10, 64)
			if err != nil || version < last {
				t.Errorf("%s went from version %d back to %d: %v", h.ID, last, version, err)
			}
			last = version
		}
	}
}

// relays returns the hosts that read from the platform for the fleet.
func relays(t *testing.T, f *fleet.Fleet) []*fleet.Host {
	t.Helper()
	var out []*fleet.Host
	for _, h := range f.Hosts {
		if h.Running() && statusOf(t, h).Standing.Relay {
			out = append(out, h)
		}
	}
	return out
}

func TestTwoRelaysPerRegionWatch(t *testing.T) {
	opts := nineHosts()
	opts.Hosts = append(opts.Hosts, "east-1", "east-2")
	f := fleet.Start(t, opts)
	const want = 6
	fleet.Eventually(t, "two daemons of each region are relays", func() bool { return len(relays(t, f)) == want })
	for _, h := range f.Hosts {
		if !slices.Contains(relays(t, f), h) {
			f.SetPlatformPath(h, relay.Disconnect)
		}
	}
	inForce(t, f, change(f, time.Second))
	neverBelow(t, f)
}

func TestChangeWithTheWatchSlowIsInForce(t *testing.T) {
	f := fleet.Start(t, nineHosts())
	f.Platform.SetFaults(platform.Faults{DelayMs: 200})
	inForce(t, f, change(f, time.Second))
	neverBelow(t, f)
}

func TestChangeThenPlatformGone(t *testing.T) {
	f := fleet.Start(t, nineHosts())
	version := change(f, time.Second)
	fleet.Eventually(t, "one daemon has the change", func() bool {
		return slices.ContainsFunc(f.Hosts, func(h *fleet.Host) bool { return statusOf(t, h).CatalogueVersion >= version })
	})
	f.Platform.SetFaults(platform.Faults{Down: true})
	inForce(t, f, version)
	neverBelow(t, f)
}

func TestChangeThatNoRelaySawIsInForceOnceAnOperatorTellsIt(t *testing.T) {
	f := fleet.Start(t, nineHosts())
	f.Platform.SetFaults(platform.Faults{Down: true})
	version := change(f, time.Second)
	obj, err := f.Platform.Object(tiller.KindCatalogue, changedEntry)
	if err != nil {
		t.Fatal(err)
	}
	body, err := json.Marshal(operatorapi.AcceptedChange{Name: changedEntry, Version: version, Data: obj.Data})
	if err != nil {
		t.Fatal(err)
	}
	status, err := f.Hosts[7].PostJSON(operatorapi.PathAccepted, body)
	if err != nil || status != http.StatusNoContent {
		t.Fatalf("telling a daemon: status %d, %v", status, err)
	}
	inForce(t, f, version)
	f.Platform.SetFaults(platform.Faults{})
	inForce(t, f, change(f, 2*time.Second))
	neverBelow(t, f)
}

func TestAcceptedChangeIsChecked(t *testing.T) {
	f := fleet.Start(t, smallFleet())
	for name, body := range map[string]string{
		"not JSON":       `{`,
		"no version":     `{"name":"service.lookups","data":{}}`,
		"no data":        `{"name":"service.lookups","version":1000000}`,
		"invalid object": `{"name":"service.lookups","version":1000000,"data":{"schema":99}}`,
	} {
		status, err := f.Hosts[0].PostJSON(operatorapi.PathAccepted, []byte(body))
		if err != nil || status < http.StatusBadRequest || status >= http.StatusInternalServerError {
			t.Errorf("%s: status %d, %v", name, status, err)
		}
	}
	if got := statusOf(t, f.Hosts[0]); got.CatalogueVersion >= 1000000 || len(got.Invalid) != 0 {
		t.Errorf("a refused change left its mark: version %d, invalid %v", got.CatalogueVersion, got.Invalid)
	}
}

func TestStaleReadsTurnNothingBack(t *testing.T) {
	f := fleet.Start(t, nineHosts())
	f.Platform.SetFaults(platform.Faults{FreezeReads: true, WatchDelayMs: 300})
	version := change(f, time.Second)
	added := fleet.Service("added", request.RankReport, true)
	version = max(version, f.Apply(&added))
	inForce(t, f, version)
	for _, h := range f.Hosts[:4] {
		h.Kill()
		f.Restart(h)
		f.WaitConverged()
	}
	inForce(t, f, change(f, 2*time.Second))
	neverBelow(t, f)
	for _, h := range f.Hosts {
		if strings.Contains(h.Log(), "deleted=true") {
			t.Errorf("%s took an entry that a stale list lacks for deleted", h.ID)
		}
	}
}

func TestEntryDeletedWhileNoRelayWatchedIsDeletedByTheNextList(t *testing.T) {
	f := fleet.Start(t, nineHosts())
	entry := fleet.Service("lookups", request.RankLookup, true)
	inForce(t, f, f.Apply(&entry))
	for _, h := range f.Hosts {
		f.SetPlatformPath(h, relay.Disconnect)
	}
	if _, err := f.Platform.Remove(tiller.KindCatalogue, changedEntry); err != nil {
		t.Fatal(err)
	}
	f.Platform.CompactHistory()
	for _, h := range f.Hosts {
		f.SetPlatformPath(h, relay.Pass)
	}
	fleet.Eventually(t, "the entry is deleted everywhere", func() bool {
		return !slices.ContainsFunc(f.Hosts, func(h *fleet.Host) bool { return !strings.Contains(h.Log(), "deleted=true") })
	})
	inForce(t, f, change(f, time.Second))
	neverBelow(t, f)
}

func TestRelayKilledInTheMiddleOfSpreading(t *testing.T) {
	f := fleet.Start(t, nineHosts())
	only := relays(t, f)[0]
	for _, h := range f.Hosts {
		if h != only {
			f.SetPlatformPath(h, relay.Disconnect)
		}
	}
	version := change(f, time.Second)
	fleet.Eventually(t, "one daemon besides the relay has the change", func() bool {
		return slices.ContainsFunc(f.Hosts, func(h *fleet.Host) bool {
			return h != only && statusOf(t, h).CatalogueVersion >= version
		})
	})
	only.Kill()
	inForce(t, f, version)
	neverBelow(t, f)
}

func TestPartitionBetweenRegionsThenHealed(t *testing.T) {
	opts := nineHosts()
	opts.DataCentres = map[string]string{"east-1": "east", "east-2": "east", "west-1": "west", "west-2": "west"}
	opts.Hosts = []string{"east-1", "east-1", "east-2", "east-2", "west-1", "west-1", "west-2", "west-2", "west-2"}
	f := fleet.Start(t, opts)
	east, west := f.Hosts[:4], f.Hosts[4:]
	f.SetRegionPaths("east", "west", relay.Disconnect)
	for _, h := range west {
		f.SetPlatformPath(h, relay.Disconnect)
	}
	version := change(f, time.Second)
	inForce(t, f, version, west...)
	everywhere(t, f, "east sees west dead", func(s operatorapi.Status) bool { return allAre(s, west, "dead") }, west...)
	everywhere(t, f, "west sees east dead", func(s operatorapi.Status) bool { return allAre(s, east, "dead") }, east...)
	for _, h := range west {
		if got := statusOf(t, h).CatalogueVersion; got >= version {
			t.Errorf("%s has version %d through the partition", h.ID, got)
		}
	}
	f.SetRegionPaths("east", "west", relay.Pass)
	inForce(t, f, version)
	f.WaitConverged()
	neverBelow(t, f)
}

func allAre(s operatorapi.Status, hosts []*fleet.Host, state string) bool {
	return !slices.ContainsFunc(hosts, func(h *fleet.Host) bool { return memberOf(s, h.ID).State != state })
}

// invalidVersions are objects that daemons cannot put in force.
var invalidVersions = map[string]string{
	"unknown schema": `{"schema":99,"kind":"service","name":"lookups","owner":"tests"}`,
	"unknown kind":   `{"schema":1,"kind":"recipe","name":"lookups","owner":"tests"}`,
	"unknown field":  `{"schema":1,"kind":"service","name":"lookups","owner":"tests","colour":"blue"}`,
	"wrong name":     `{"schema":1,"kind":"service","name":"other","owner":"tests"}`,
	"too large":      `{"schema":1,"kind":"service","name":"lookups","owner":"` + strings.Repeat("x", catalogue.MaxEntryBytes) + `"}`,
}

func TestInvalidObjectIsNamedAndTheLastValidStaysInForce(t *testing.T) {
	f := fleet.Start(t, smallFleet())
	valid := change(f, time.Second)
	inForce(t, f, valid)
	for name, data := range invalidVersions {
		version, err := f.Platform.Replace(tiller.KindCatalogue, changedEntry, []byte(data))
		if err != nil {
			t.Fatal(err)
		}
		everywhere(t, f, name+" is named", func(s operatorapi.Status) bool { return names(s, changedEntry, version) })
	}
	for _, h := range f.Hosts {
		wantDone(t, run(t, f.Client(h), "lookups", "after-invalid"), "lookups", "after-invalid")
	}
	f.Platform.SetFaults(platform.Faults{})
	for _, h := range f.Hosts {
		h.Kill()
		f.Restart(h)
		everywhere(t, f, "restarted daemon has the last valid version", func(s operatorapi.Status) bool { return s.CatalogueVersion >= valid })
		fleet.Eventually(t, "the restarted daemon serves", func() bool {
			result := run(t, f.Client(h), "lookups", "after-restart")
			return result.Outcome == request.OutcomeDone
		})
	}
	everywhere(t, f, "the invalid version is still named", func(s operatorapi.Status) bool { return len(s.Invalid) == 1 })
	mended := change(f, 2*time.Second)
	everywhere(t, f, "the mended version is in force", func(s operatorapi.Status) bool {
		return s.CatalogueVersion >= mended && len(s.Invalid) == 0
	})
}

func names(s operatorapi.Status, name string, version uint64) bool {
	return slices.ContainsFunc(s.Invalid, func(o operatorapi.InvalidObject) bool {
		return o.Name == name && o.Version == version && o.Reason != ""
	})
}
