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

// changedEntry is the entry that the tests of changes write.
const changedEntry = "service.lookups"

// writeChange writes a new version of changedEntry to the platform and returns its
// version.
func writeChange(f *fleet.Fleet, deadline time.Duration) uint64 {
	entry := fleet.Service("lookups", request.RankLookup, true)
	entry.Class.Deadline = catalogue.Duration(deadline)
	return f.Apply(&entry)
}

// awaitInForce waits until every running daemon except the given ones has a
// version of the catalogue, or a later one, in force.
func awaitInForce(t *testing.T, f *fleet.Fleet, version uint64, except ...*fleet.Host) {
	t.Helper()
	awaitStatus(t, f, "the change is in force", func(s operatorapi.Status) bool { return s.CatalogueVersion >= version }, except...)
}

// checkVersionsNeverDecrease reports an error if a daemon logged an older version
// of changedEntry in force after a later one.
func checkVersionsNeverDecrease(t *testing.T, f *fleet.Fleet) {
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

// relayHosts returns the hosts whose daemons are relays, which read from the
// platform for the fleet.
func relayHosts(t *testing.T, f *fleet.Fleet) []*fleet.Host {
	t.Helper()
	var out []*fleet.Host
	for _, h := range f.Hosts {
		if h.Running() && statusOf(t, h).Standing.Relay {
			out = append(out, h)
		}
	}
	return out
}

// TestTwoRelaysPerRegionReadThePlatform guards against a fleet that needs more
// than its two relays per region to receive a change: all other hosts are
// disconnected from the platform.
func TestTwoRelaysPerRegionReadThePlatform(t *testing.T) {
	opts := nineHostFleet()
	opts.Hosts = append(opts.Hosts, "east-1", "east-2")
	f := fleet.Start(t, opts)
	const want = 6
	fleet.Eventually(t, "two daemons of each region are relays", func() bool { return len(relayHosts(t, f)) == want })
	for _, h := range f.Hosts {
		if !slices.Contains(relayHosts(t, f), h) {
			f.SetPlatformPath(h, relay.Disconnect)
		}
	}
	awaitInForce(t, f, writeChange(f, time.Second))
	checkVersionsNeverDecrease(t, f)
}

// TestChangeComesIntoForceWhilePlatformIsSlow checks a change while the platform
// delays each call by 200 ms.
func TestChangeComesIntoForceWhilePlatformIsSlow(t *testing.T) {
	f := fleet.Start(t, nineHostFleet())
	f.Platform.SetFaults(platform.Faults{DelayMs: 200})
	awaitInForce(t, f, writeChange(f, time.Second))
	checkVersionsNeverDecrease(t, f)
}

// TestChangeSpreadsAfterPlatformGoesDown guards against a change that stays on one
// daemon because the platform goes down right after that daemon has read it.
func TestChangeSpreadsAfterPlatformGoesDown(t *testing.T) {
	f := fleet.Start(t, nineHostFleet())
	version := writeChange(f, time.Second)
	fleet.Eventually(t, "one daemon has the change", func() bool {
		return slices.ContainsFunc(f.Hosts, func(h *fleet.Host) bool { return statusOf(t, h).CatalogueVersion >= version })
	})
	f.Platform.SetFaults(platform.Faults{Down: true})
	awaitInForce(t, f, version)
	checkVersionsNeverDecrease(t, f)
}

// TestOperatorDeliversChangeWhilePlatformIsDown guards against a change that no
// daemon learns of because the platform goes down before a relay has read it: an
// operator posts the change to one daemon, and all daemons must put it in force.
func TestOperatorDeliversChangeWhilePlatformIsDown(t *testing.T) {
	f := fleet.Start(t, nineHostFleet())
	f.Platform.SetFaults(platform.Faults{Down: true})
	version := writeChange(f, time.Second)
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
		t.Fatalf("posting the change to a daemon: status %d, error %v", status, err)
	}
	awaitInForce(t, f, version)
	f.Platform.SetFaults(platform.Faults{})
	awaitInForce(t, f, writeChange(f, 2*time.Second))
	checkVersionsNeverDecrease(t, f)
}

// TestInvalidOperatorChangeIsRejected guards against a malformed change of an
// operator that is put in force or reported as an invalid object. The daemon must
// answer with a 4xx status.
func TestInvalidOperatorChangeIsRejected(t *testing.T) {
	f := fleet.Start(t, threeHostFleet())
	for name, body := range map[string]string{
		"not JSON":       `{`,
		"no version":     `{"name":"service.lookups","data":{}}`,
		"no data":        `{"name":"service.lookups","version":1000000}`,
		"invalid object": `{"name":"service.lookups","version":1000000,"data":{"schema":99}}`,
	} {
		status, err := f.Hosts[0].PostJSON(operatorapi.PathAccepted, []byte(body))
		if err != nil || status < http.StatusBadRequest || status >= http.StatusInternalServerError {
			t.Errorf("%s: got status %d, error %v; want 4xx", name, status, err)
		}
	}
	if got := statusOf(t, f.Hosts[0]); got.CatalogueVersion >= 1000000 || len(got.Invalid) != 0 {
		t.Errorf("a rejected change had an effect: version %d, invalid %v", got.CatalogueVersion, got.Invalid)
	}
}

// TestStaleReadsRevertNothing guards against a change that is reverted, or an entry
// that is deleted, because a daemon reads an old state from the platform: reads
// are frozen at the state before the change and the watch is 300 ms late, while
// daemons are killed and restarted.
func TestStaleReadsRevertNothing(t *testing.T) {
	f := fleet.Start(t, nineHostFleet())
	f.Platform.SetFaults(platform.Faults{FreezeReads: true, WatchDelayMs: 300})
	version := writeChange(f, time.Second)
	added := fleet.Service("added", request.RankReport, true)
	version = max(version, f.Apply(&added))
	awaitInForce(t, f, version)
	for _, h := range f.Hosts[:4] {
		h.Kill()
		f.Restart(h)
		f.WaitConverged()
	}
	awaitInForce(t, f, writeChange(f, 2*time.Second))
	checkVersionsNeverDecrease(t, f)
	for _, h := range f.Hosts {
		if strings.Contains(h.Log(), "deleted=true") {
			t.Errorf("%s deleted an entry that a stale list does not have", h.ID)
		}
	}
}

// TestListRevealsDeletionMissedByWatch guards against an entry that stays in force
// forever because it was deleted, and the history of the platform compacted, while
// no relay was connected: the next list must reveal the deletion.
func TestListRevealsDeletionMissedByWatch(t *testing.T) {
	f := fleet.Start(t, nineHostFleet())
	entry := fleet.Service("lookups", request.RankLookup, true)
	awaitInForce(t, f, f.Apply(&entry))
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
	awaitInForce(t, f, writeChange(f, time.Second))
	checkVersionsNeverDecrease(t, f)
}

// TestRelayKilledWhileChangeSpreads guards against a change that reaches only part
// of the fleet because the only relay that could read it is killed after it has
// passed the change to one other daemon.
func TestRelayKilledWhileChangeSpreads(t *testing.T) {
	f := fleet.Start(t, nineHostFleet())
	only := relayHosts(t, f)[0]
	for _, h := range f.Hosts {
		if h != only {
			f.SetPlatformPath(h, relay.Disconnect)
		}
	}
	version := writeChange(f, time.Second)
	fleet.Eventually(t, "one daemon other than the relay has the change", func() bool {
		return slices.ContainsFunc(f.Hosts, func(h *fleet.Host) bool {
			return h != only && statusOf(t, h).CatalogueVersion >= version
		})
	})
	only.Kill()
	awaitInForce(t, f, version)
	checkVersionsNeverDecrease(t, f)
}

// TestRegionPartitionHeals guards against regions that do not converge after a
// partition. One region is disconnected from the other and from the platform and
// misses a change, and each region marks the hosts of the other dead; after the
// partition all daemons must have the change and see each other alive.
func TestRegionPartitionHeals(t *testing.T) {
	opts := nineHostFleet()
	opts.DataCentres = map[string]string{"east-1": "east", "east-2": "east", "west-1": "west", "west-2": "west"}
	opts.Hosts = []string{"east-1", "east-1", "east-2", "east-2", "west-1", "west-1", "west-2", "west-2", "west-2"}
	f := fleet.Start(t, opts)
	east, west := f.Hosts[:4], f.Hosts[4:]
	f.SetRegionPaths("east", "west", relay.Disconnect)
	for _, h := range west {
		f.SetPlatformPath(h, relay.Disconnect)
	}
	version := writeChange(f, time.Second)
	awaitInForce(t, f, version, west...)
	awaitStatus(t, f, "hosts in the east see those in the west dead", func(s operatorapi.Status) bool { return allInState(s, west, "dead") }, west...)
	awaitStatus(t, f, "hosts in the west see those in the east dead", func(s operatorapi.Status) bool { return allInState(s, east, "dead") }, east...)
	for _, h := range west {
		if got := statusOf(t, h).CatalogueVersion; got >= version {
			t.Errorf("%s has version %d in force in spite of the partition", h.ID, got)
		}
	}
	f.SetRegionPaths("east", "west", relay.Pass)
	awaitInForce(t, f, version)
	f.WaitConverged()
	checkVersionsNeverDecrease(t, f)
}

// allInState reports whether a daemon sees all given hosts in a state.
func allInState(s operatorapi.Status, hosts []*fleet.Host, state string) bool {
	return !slices.ContainsFunc(hosts, func(h *fleet.Host) bool { return memberOf(s, h.ID).State != state })
}

// invalidVersions are objects of changedEntry that daemons must not put in force.
var invalidVersions = map[string]string{
	"unknown schema": `{"schema":99,"kind":"service","name":"lookups","owner":"tests"}`,
	"unknown kind":   `{"schema":1,"kind":"recipe","name":"lookups","owner":"tests"}`,
	"unknown field":  `{"schema":1,"kind":"service","name":"lookups","owner":"tests","colour":"blue"}`,
	"wrong name":     `{"schema":1,"kind":"service","name":"other","owner":"tests"}`,
	"too large":      `{"schema":1,"kind":"service","name":"lookups","owner":"` + strings.Repeat("x", catalogue.MaxEntryBytes) + `"}`,
}

// TestInvalidObjectIsReportedAndLastValidVersionStays guards against an invalid
// object that replaces or removes the valid version of an entry, also on a daemon
// that is restarted while the platform has only the invalid one. Daemons must
// report it until it is corrected.
func TestInvalidObjectIsReportedAndLastValidVersionStays(t *testing.T) {
	f := fleet.Start(t, threeHostFleet())
	valid := writeChange(f, time.Second)
	awaitInForce(t, f, valid)
	for name, data := range invalidVersions {
		version, err := f.Platform.Replace(tiller.KindCatalogue, changedEntry, []byte(data))
		if err != nil {
			t.Fatal(err)
		}
		awaitStatus(t, f, name+" is reported", func(s operatorapi.Status) bool { return reportsInvalid(s, changedEntry, version) })
	}
	for _, h := range f.Hosts {
		requireDone(t, runRequest(t, f.Client(h), "lookups", "after-invalid"), "lookups", "after-invalid")
	}
	f.Platform.SetFaults(platform.Faults{})
	for _, h := range f.Hosts {
		h.Kill()
		f.Restart(h)
		awaitStatus(t, f, "the restarted daemon has the last valid version", func(s operatorapi.Status) bool { return s.CatalogueVersion >= valid })
		fleet.Eventually(t, "the restarted daemon serves", func() bool {
			result := runRequest(t, f.Client(h), "lookups", "after-restart")
			return result.Outcome == request.OutcomeDone
		})
	}
	awaitStatus(t, f, "the invalid version is still reported", func(s operatorapi.Status) bool { return len(s.Invalid) == 1 })
	corrected := writeChange(f, 2*time.Second)
	awaitStatus(t, f, "the corrected version is in force", func(s operatorapi.Status) bool {
		return s.CatalogueVersion >= corrected && len(s.Invalid) == 0
	})
}

// reportsInvalid reports whether a daemon lists a version of an object as invalid,
// with a reason.
func reportsInvalid(s operatorapi.Status, name string, version uint64) bool {
	return slices.ContainsFunc(s.Invalid, func(o operatorapi.InvalidObject) bool {
		return o.Name == name && o.Version == version && o.Reason != ""
	})
}
