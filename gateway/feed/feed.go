// Package feed maintains a daemon's local replica of the objects in the store.
//
// The objects come from the store, by a list followed by watches, or through a
// relay, another daemon that already has them. The replica survives an outage
// of the store, and it never returns to an older position.
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

// Store is the source of the objects.
type Store interface {
	// List returns all objects of a kind and the position to watch from.
	List(ctx context.Context, kind string) ([]objects.Object, objects.Position, error)
	// Watch returns the changes of a kind after a position, up to one of the same era. It
	// waits up to wait for a change. The error wraps objects.ErrHistoryGone if the store is
	// in a later era.
	Watch(ctx context.Context, kind string, after objects.Position, wait time.Duration) (objects.Changes, error)
}

// Subscription describes a kind of objects to follow and the callbacks that
// receive its objects.
type Subscription struct {
	Kind string
	// MaxAge is how old the copy of a daemon that can reach the store may become:
	// the time within which it has each change.
	MaxAge time.Duration
	// MaxWatchTimeout is the longest time that a watch waits for a change. The wait
	// is shorter if MaxAge requires it.
	MaxWatchTimeout time.Duration
	// OnList receives all objects of the kind and the position of the list, whose era
	// is never earlier than that of the last one.
	OnList func(all []objects.Object, at objects.Position)
	// OnEvent receives a single change and the position up to which it is one.
	OnEvent func(e objects.Event, at objects.Position)
	// LogUpdates says that a line is logged for each update of the copy.
	LogUpdates bool
	// OnStoreUnavailable and OnStoreAvailable are called when the store stops
	// answering and when it answers again, or a relay takes over. Both may be
	// nil.
	OnStoreUnavailable, OnStoreAvailable func()
}

// Settings configure a replica.
type Settings struct {
	Self relay.Member
	// Seeds are daemons to query if the store does not answer at startup.
	Seeds []netip.AddrPort
	// StartupRelayWait is how long a starting daemon waits for its relay before
	// it reads the store.
	StartupRelayWait time.Duration
}

// Replica is a daemon's local replica of the store's objects.
type Replica struct {
	settings      Settings
	store         Store
	subscriptions []Subscription
	log           zerolog.Logger
	cache         *objects.Cache
	startedAt     time.Time
	breaker       circuitBreaker
	failures      *regionalFailures
	loads         LoadHooks
	call          CallFunc
	hosts         HostHooks
	stats         stats
	packer        packer

	mu       sync.Mutex
	members  []relay.Member
	selector *relay.Selector
	// polledSince is when the current call to a relay began, or zero if there is none.
	polledSince time.Time
	// relayedUntil is the time until which a relay is known to supply each kind.
	relayedUntil map[string]time.Time
	// unconfirmed holds the kinds whose last call to the store failed, and that no
	// source has confirmed since.
	unconfirmed map[string]bool
	// neighbourAttempts counts the neighbours that had nothing current.
	neighbourAttempts int
	// relayStartingUntil is the time until which a relay is known to be starting.
	relayStartingUntil time.Time
	// applyMu keeps the callbacks of the subscriptions in the order of the
	// changes.
	applyMu sync.Mutex
}

// New returns a replica of the subscribed kinds. It calls other daemons with
// call.
func New(settings Settings, store Store, subscriptions []Subscription, hooks FailureHooks, call CallFunc, log zerolog.Logger) *Replica {
	return &Replica{
		failures: newRegionalFailures(hooks),
		settings: settings, store: store, subscriptions: subscriptions, call: call, log: log,
		cache: objects.NewCache(), startedAt: time.Now(), selector: relay.NewSelector(settings.Self, relayRetryDelay),
		relayedUntil: map[string]time.Time{}, unconfirmed: map[string]bool{},
	}
}

// SetMembers replaces the list of daemons in the fleet.
func (r *Replica) SetMembers(members []relay.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.members = members
}

// Age returns how long ago a kind's copy was known to match the store, or 0 if
// there is no copy.
func (r *Replica) Age(kind string) time.Duration {
	age, _ := r.cache.Age(kind, time.Now())
	return age
}

// IsCurrent reports whether there is a copy of a kind that was known to match the store
// within maxAge.
func (r *Replica) IsCurrent(kind string, maxAge time.Duration) bool {
	age, hasCopy := r.cache.Age(kind, time.Now())
	return hasCopy && age <= maxAge
}

// Era returns the store's era of a kind's copy, or 0 if there is no copy.
func (r *Replica) Era(kind string) int64 {
	at, _ := r.cache.Position(kind)
	return at.Era
}

// Run keeps the replica up to date until ctx ends.
func (r *Replica) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, sub := range r.subscriptions {
		wg.Go(func() { r.followStore(ctx, sub) })
	}
	wg.Go(func() { r.pollRelays(ctx) })
}

// update is a list of all objects of a kind, or a set of changes.
type update struct {
	full bool
	// objects is the list, and events are the changes.
	objects []objects.Object
	events  []objects.Event
	// from and to are the positions before and after the changes, or to alone is the
	// position of the list.
	from, to objects.Position
	// confirmed is when the data matched the store.
	confirmed time.Time
	// source is the relay that sent the data, or storeSource, and called when it was
	// called.
	source string
	called time.Time
}

// apply applies an update to the cache and passes it to the subscription. Data that does
// not follow on from the cached position is ignored.
func (r *Replica) apply(sub Subscription, u update) {
	r.applyMu.Lock()
	defer r.applyMu.Unlock()
	r.stats.addReceived(u)
	u.events = objects.Latest(u.events)
	age := r.Age(sub.Kind)
	if u.full {
		if r.cache.Replace(sub.Kind, u.objects, u.to, u.confirmed) {
			r.logUpdate(sub, u, age)
			sub.OnList(u.objects, u.to)
		}
		return
	}
	if !r.cache.Apply(sub.Kind, u.events, u.from, u.to, u.confirmed) {
		return
	}
	if len(u.events) > 0 {
		r.logUpdate(sub, u, age)
	}
	for _, e := range u.events {
		sub.OnEvent(e, u.to)
	}
}

// setUnconfirmed records whether the last call to the store for a kind failed.
func (r *Replica) setUnconfirmed(kind string, lost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unconfirmed[kind] = lost
}

func (r *Replica) isUnconfirmed(kind string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unconfirmed[kind]
}
