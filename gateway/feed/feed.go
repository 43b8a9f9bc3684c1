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

// Kind is a kind of objects that is followed.
type Kind struct {
	Name string
	// Wait is how long a watch waits. A watch may hear nothing of a change
	// that the next one shows.
	Wait time.Duration
	// Reset takes all objects.
	Reset func(all []objects.Object)
	// Change takes one change.
	Change func(e objects.Event)
	// Lost and Regained tell whether the store answers; both may be nil.
	Lost, Regained func()
}

// Settings say how the copy is kept.
type Settings struct {
	Self relay.Member
	// Seeds are daemons to ask while the store does not answer at the start.
	Seeds []netip.AddrPort
	// StartWait is how long a starting daemon leaves the store to its relay.
	StartWait time.Duration
}

// Feed is a daemon's copy of the store's objects.
type Feed struct {
	settings Settings
	store    Store
	kinds    []Kind
	log      zerolog.Logger
	cache    *objects.Cache
	started  time.Time
	probe    probe
	faults   *regionFaults
	asks     Ask

	mu      sync.Mutex
	members []relay.Member
	choice  *relay.Choice
	// relayed is until when another daemon is known to bring what is fresh.
	relayed time.Time
	// relayStarts is until when a relay is known to be starting.
	relayStarts time.Time
	// apply keeps the order of what the kinds take.
	apply sync.Mutex
}

// New returns a feed of kinds that sends its calls to other daemons with asks.
func New(settings Settings, store Store, kinds []Kind, faults Faults, asks Ask, log zerolog.Logger) *Feed {
	return &Feed{
		faults:   newRegionFaults(faults),
		settings: settings, store: store, kinds: kinds, asks: asks, log: log,
		cache: objects.NewCache(), started: time.Now(), choice: relay.NewChoice(settings.Self, relayPause),
	}
}

// SetMembers replaces the daemons of the fleet.
func (f *Feed) SetMembers(members []relay.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = members
}

// Run keeps the copy until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	for _, k := range f.kinds {
		running.Go(func() { f.follow(ctx, k) })
	}
	running.Go(func() { f.followRelays(ctx) })
}

// take brings what is new of a kind to the copy and to the kind, unless it
// does not follow on what is known.
func (f *Feed) take(k Kind, full bool, all []objects.Object, events []objects.Event, from, to int64, confirmed time.Time) {
	f.apply.Lock()
	defer f.apply.Unlock()
	if full {
		if f.cache.Reset(k.Name, all, to, confirmed) {
			k.Reset(all)
		}
		return
	}
	if !f.cache.Apply(k.Name, events, from, to, confirmed) {
		return
	}
	for _, e := range events {
		k.Change(e)
	}
}
