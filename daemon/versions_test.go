package daemon

import (
	"context"
	"math"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"bilberrytiller.example/tiller/coordination/limit"
	"bilberrytiller.example/tiller/coordination/link"
	"bilberrytiller.example/tiller/coordination/membership"
	"bilberrytiller.example/tiller/coordination/spread"
	"bilberrytiller.example/tiller/protocol/callerapi"
	"bilberrytiller.example/tiller/state/catalogue"
	"bilberrytiller.example/tiller/state/request"
)

// TestOlderDrainFactIsIgnored guards against two facts that are applied in another order
// than they were merged in.
func TestOlderDrainFactIsIgnored(t *testing.T) {
	d := newDrainState()
	id := spread.ID{Kind: factDraining, Key: "stock-1"}
	d.applyDrainFacts([]spread.Fact{{ID: id, Version: 2, Body: drainingBody}})
	d.applyDrainFacts([]spread.Fact{{ID: id, Version: 1}})
	if got := d.reportedDrains["stock-1"].Version; got != 2 {
		t.Errorf("version %d of the drain is in force after versions 2 and 1, want 2", got)
	}
}

// TestOlderHostFactIsIgnored guards against the same for entries of the host list.
func TestOlderHostFactIsIgnored(t *testing.T) {
	d := benchDaemon(t, 1, "error")
	fact := func(version uint64, leaving bool) []spread.Fact {
		body, err := cbor.Marshal(membership.Host{ID: d.self.ID, DataCentre: "dc-0", Region: "region-0", Leaving: leaving})
		if err != nil {
			t.Fatal(err)
		}
		return []spread.Fact{{ID: spread.ID{Kind: factHost, Key: d.self.ID}, Version: version, Body: body}}
	}
	d.applyHostFacts(fact(2, true))
	d.applyHostFacts(fact(1, false))
	if !d.drains.isListedLeaving() {
		t.Error("an older entry took back that this host is leaving")
	}
}

// TestOlderCatalogueIsIgnored guards against a catalogue that a concurrent change has
// replaced and that is applied to the held upstreams last.
func TestOlderCatalogueIsIgnored(t *testing.T) {
	d := benchDaemon(t, 1, "error")
	entry := func(version uint64, slots int) []catalogue.Record {
		record, err := catalogue.NewRecord(catalogue.ID{Kind: catalogue.KindUpstream, Name: "stock-1"}, catalogue.Version(version),
			[]byte(`{"schema":1,"kind":"upstream","name":"stock-1","owner":"o","services":["stock"],"datacentre":"dc-0","address":"127.0.0.1:1","connections":8,"slots":`+strconv.Itoa(slots)+`}`))
		if err != nil {
			t.Fatal(err)
		}
		return []catalogue.Record{record}
	}
	older, _ := catalogue.Empty().Merge(entry(1, 3))
	held := d.heldUpstreams.getOrCreate(older.Upstream("stock-1"))
	d.applyRecords(entry(2, 5))
	d.afterCatalogueChange(nil)
	if got := held.upstream.Slots; got != 5 {
		t.Errorf("the held upstream has %d slots, want the 5 of the newer catalogue", got)
	}
}

// TestSlowStartAfterLongDrain guards against an upstream that gets all requests at once
// after a drain that outlasted the slow start that it began with.
func TestSlowStartAfterLongDrain(t *testing.T) {
	u := &catalogue.Upstream{Slots: 16, Connections: 1}
	held := newHeldUpstreams(zerolog.Nop()).getOrCreate(u)
	now := time.Now()
	held.update(u, true, now)
	now = now.Add(time.Minute)
	held.advanceSlowStart(now)
	held.update(u, false, now)
	if got := held.schedulerLimits(now).Slots; got >= u.Slots {
		t.Errorf("got %d slots right after the drain, want fewer than %d", got, u.Slots)
	}
}

// TestMessagesPassWhenLinkLimitIsRemoved guards against answers that wait for ever for the
// bandwidth of a link that is no longer limited.
func TestMessagesPassWhenLinkLimitIsRemoved(t *testing.T) {
	l := &limits{}
	quota := &sharedQuota{Quota: limit.NewQuota(linkPolicy), units: 100, lastEmptyRound: time.Now().Add(time.Hour)}
	q := &linkQueue{}
	done := make(chan bool, 1)
	go func() {
		done <- q.await(context.Background(), l, quota, link.NewMessage(request.RankPayment, 50))
	}()
	time.Sleep(4 * linkPollPeriod)
	select {
	case <-done:
		t.Fatal("the message was sent without bandwidth")
	default:
	}
	l.mu.Lock()
	quota.units = 0
	l.mu.Unlock()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Error("the message still waits 5 s after the limit was removed")
	}
}

// TestMessageIsNotSplitWithoutLinkLimit guards against messages in pieces of one byte after
// the limit was removed while they waited for the shares.
func TestMessageIsNotSplitWithoutLinkLimit(t *testing.T) {
	d := &Daemon{self: membership.Member{Region: "a"}}
	id := linkLimitID("a", "b")
	quota := &sharedQuota{Quota: limit.NewQuota(linkPolicy), id: id, units: 100}
	loaded := make(chan struct{})
	d.limits = &limits{d: d, quotas: map[limitID]*sharedQuota{id: quota}, shares: map[string]*groupShares{id.group: {loaded: loaded}}}
	d.links = newLinks(d)
	time.AfterFunc(20*time.Millisecond, func() {
		d.limits.mu.Lock()
		quota.units = 0
		d.limits.mu.Unlock()
		close(loaded)
	})
	if err := d.links.awaitBandwidth(t.Context(), "b", request.RankPayment, 1000); err != nil || len(d.links.queues) != 0 {
		t.Errorf("got error %v and %d queues, want no wait for bandwidth", err, len(d.links.queues))
	}
}

// TestHugeDeadlineIsTheLongest guards against a deadline that overflows and counts as
// passed.
func TestHugeDeadlineIsTheLongest(t *testing.T) {
	for _, ms := range []int64{int64(maxRequestTimeout/time.Millisecond) + 1, math.MaxInt64/int64(time.Millisecond) + 1, math.MaxInt64} {
		r := httptest.NewRequest(http.MethodPost, "/", http.NoBody)
		r.Header.Set(callerapi.HeaderDeadline, strconv.FormatInt(ms, 10))
		req, err := newRequest(httptest.NewRecorder(), r)
		if left := time.Until(req.Deadline); err != nil || left < maxRequestTimeout-time.Minute || left > maxRequestTimeout {
			t.Errorf("deadline %d ms: got %v left and error %v, want %v", ms, left, err, maxRequestTimeout)
		}
	}
}
