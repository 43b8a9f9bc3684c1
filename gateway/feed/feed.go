// Package feed keeps a daemon's copy of the store's objects up to date.
//
// The copy comes from the store, by a list and then watches, or from another
// daemon of the data centre that has it from there. What it knows survives an
// outage of the store; it never goes back to an older revision.
package feed

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"bilberrytiller.example/tiller/coordination/objects"
	"bilberrytiller.example/tiller/coordination/relay"
)

// Store is the store that the objects come from.
type Store interface {
	// List returns all objects of a kind and the revision to watch from.
	List(ctx context.Context, kind string) ([]objects.Object, int64, error)
	// Watch returns the changes of a kind after a revision and the revision to
	// go on from. It waits for one as long as wait.
	Watch(ctx context.Context, kind string, revision int64, wait time.Duration) ([]objects.Event, int64, error)
}

// Subscription is a kind of objects that is followed.
type Subscription struct {
	Kind string
	// WatchTimeout is how long a watch waits. A watch may hear nothing of a change
	// that the next one shows.
	WatchTimeout time.Duration
	// OnList takes all objects.
	OnList func(all []objects.Object)
	// OnEvent takes one change.
	OnEvent func(e objects.Event)
	// Lost and Regained tell whether the store answers; both may be nil.
	OnStoreUnavailable, OnStoreAvailable func()
}

// Settings say how the copy is kept.
type Settings struct {
	Self relay.Member
	// Seeds are daemons to ask while the store does not answer at the start.
	Seeds []netip.AddrPort
	// StartupRelayWait is how long a starting daemon leaves the store to its relay.
	StartupRelayWait time.Duration
}

// Replica is a daemon's copy of the store's objects.
type Replica struct {
	settings Settings
	store    Store
	kinds    []Subscription
	log      zerolog.Logger
	cache    *objects.Cache
	started  time.Time
	probe    probe
	faults   *regionFaults
	asks     CallFunc

	mu      sync.Mutex
	members []relay.Member
	choice  *relay.Selector
	// relayed is until when another daemon is known to bring what is fresh.
	relayed time.Time
	// relayStarts is until when a relay is known to be starting.
	relayStarts time.Time
	// apply keeps the order of what the kinds take.
	apply sync.Mutex
}

// New returns a feed of kinds that sends its calls to other daemons with asks.
func New(settings Settings, store Store, kinds []Subscription, faults FailureHooks, asks CallFunc, log zerolog.Logger) *Replica {
	return &Replica{
		faults:   newRegionFaults(faults),
		settings: settings, store: store, kinds: kinds, asks: asks, log: log,
		cache: objects.NewCache(), started: time.Now(), choice: relay.NewSelector(settings.Self, relayPause),
	}
}

// SetMembers replaces the daemons of the fleet.
func (f *Replica) SetMembers(members []relay.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = members
}

// Run keeps the copy until ctx ends.
func (f *Replica) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	for _, k := range f.kinds {
		running.Go(func() { f.follow(ctx, k) })
	}
	running.Go(func() { f.followRelays(ctx) })
}

// take brings what is new of a kind to the copy and to the kind, unless it
// does not follow on what is known.
func (f *Replica) take(k Subscription, full bool, all []objects.Object, events []objects.Event, from, to int64, confirmed time.Time) {
	f.apply.Lock()
	defer f.apply.Unlock()
	if full {
		if f.cache.Replace(k.Kind, all, to, confirmed) {
			k.OnList(all)
		}
		return
	}
	if !f.cache.Apply(k.Kind, events, from, to, confirmed) {
		return
	}
	for _, e := range events {
		k.OnEvent(e)
	}
}
