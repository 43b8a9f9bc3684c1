package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"bilberrytiller.example/tiller/coordination/quota"
	"bilberrytiller.example/tiller/coordination/relay"
	"bilberrytiller.example/tiller/internal/sleep"
	"bilberrytiller.example/tiller/protocol/wire"
	"bilberrytiller.example/tiller/state/routing"
	"bilberrytiller.example/tiller/transport/peer"
)

const (
	// reasonQuota is the reason for refusing a request above its organisation's quota.
	reasonQuota = "quota"
	// quotaCallInterval is how often a daemon calls its parent, and minQuotaCallInterval
	// the shortest pause between calls for requests that wait.
	quotaCallInterval    = 250 * time.Millisecond
	minQuotaCallInterval = 10 * time.Millisecond
	// quotaStartInterval is the pause between calls for the release of a process that has
	// started, and after it until the parts have come together.
	quotaStartInterval = 50 * time.Millisecond
	// quotaRoundTimeout bounds the calls of a round.
	quotaRoundTimeout = 300 * time.Millisecond
	// quotaFillTimeout is how long a daemon waits for its own parent before it replies to
	// a child.
	quotaFillTimeout = 60 * time.Millisecond
	// quotaWait bounds the time that a request waits for a unit. Where its route has a
	// latency objective, so does quotaWaitFraction of that.
	quotaWait         = 400 * time.Millisecond
	quotaWaitFraction = 1.0 / 8
	// quotaCallSpacing is the time after the start of a round in which requests that wait
	// are collected for the next one. It is also at most quotaSpacingFraction of the time
	// for which the request may wait.
	quotaCallSpacing     = 30 * time.Millisecond
	quotaSpacingFraction = 1.0 / 3
	// minQuotaRetryAfter is the shortest Retry-After of a request above its quota.
	minQuotaRetryAfter = 50 * time.Millisecond
)

// quotaKeeper enforces the quotas of organisations together with the other daemons.
type quotaKeeper struct {
	peers             *peer.Client
	ledger            *quota.Ledger
	host, incarnation string
	// enabled says that the settings have bounds for quotas. They are read at the start
	// only.
	enabled bool
	// active says that quotas are enforced and that an organisation has one.
	active atomic.Bool
	// kick wakes the loop that calls the parent.
	kick    chan struct{}
	refused atomic.Int64
	limited *limitedOrganisations

	mu      sync.Mutex
	parents *quota.Parents
	// next is the next round of calls to the parent, and roundAt the start of the latest.
	next    *quotaRound
	roundAt time.Time
}

// quotaRound is a call to the parent that requests wait for.
type quotaRound struct {
	done chan struct{}
	// startBy is when the call is made at the latest.
	startBy time.Time
}

func newQuotaRound(interval time.Duration) *quotaRound {
	return &quotaRound{done: make(chan struct{}), startBy: time.Now().Add(interval)}
}

func newQuotaKeeper(self Member, bounds quota.Bounds, limit func(string) quota.Limit, peers *peer.Client, log *requestLogger) *quotaKeeper {
	member := relay.Member{ID: self.ID, Zone: self.Zone, Region: self.Region, Address: self.PeerAddress, Capacity: self.Capacity}
	return &quotaKeeper{
		peers: peers, host: self.ID, incarnation: self.Incarnation, ledger: quota.New(self.Incarnation, bounds, limit, time.Now()),
		enabled: bounds.Enabled(), kick: make(chan struct{}, 1),
		limited: &limitedOrganisations{log: log, entries: map[string]*limitedOrganisation{}},
		parents: quota.NewParents(member), next: newQuotaRound(quotaCallInterval),
	}
}

// quotaOf returns the quota of an organisation in the configuration in force.
func (g *Gateway) quotaOf(name string) quota.Limit {
	c := g.configuration.Load()
	if c == nil {
		return quota.Limit{}
	}
	o := c.Organisation(name)
	if o == nil {
		return quota.Limit{}
	}
	return quota.Limit{RatePerSecond: o.RatePerSecond, Burst: o.Burst}
}

// applyQuotas puts the quotas of a configuration in force.
func (g *Gateway) applyQuotas(c *routing.Configuration) {
	hasQuota := false
	for _, o := range c.Organisations() {
		hasQuota = hasQuota || o.RatePerSecond > 0
	}
	g.quotas.active.Store(hasQuota && g.quotas.enabled)
	g.quotas.ledger.LimitsChanged(time.Now())
}

// setMembers sets the daemons among which quotas are divided.
func (k *quotaKeeper) setMembers(all []Member, self string) {
	listed := false
	parents := make([]relay.Member, 0, len(all))
	others := make([]string, 0, len(all))
	for _, m := range all {
		if m.ID == self {
			listed = true
			if m.Incarnation != k.incarnation {
				k.ledger.Rejoin()
			}
		} else {
			others = append(others, m.ID)
		}
		parents = append(parents, m.Relay())
	}
	k.ledger.SetDaemons(len(all), listed, time.Now())
	k.mu.Lock()
	defer k.mu.Unlock()
	k.parents.SetMembers(parents)
	k.ledger.SetFleet(others, k.parents.First().ID == self)
}

// runStart calls the fleet's first daemon until the process may use its part.
func (k *quotaKeeper) runStart(ctx context.Context) {
	if !k.enabled {
		return
	}
	began := time.Now()
	// The connections to the first daemon do not outlast the start.
	peers := peer.NewClient(peer.NewAuth(k.host, nil), netip.IPv4Unspecified())
	defer peers.Close()
	for k.ledger.Waits(time.Now()) && sleep.For(ctx, quotaStartInterval) {
		if call := k.ledger.NewStartCall(time.Now()); call != nil {
			k.callFirst(ctx, peers, call)
		}
	}
	if ctx.Err() != nil {
		return
	}
	k.limited.log.newEvent("quota.start", true).Bool("released", k.ledger.Settles(time.Now())).
		Dur("waited_ms", time.Since(began)).Send()
	k.callAfter(0)
}

func (k *quotaKeeper) callFirst(ctx context.Context, peers *peer.Client, call *quota.StartCall) {
	ctx, cancel := context.WithTimeout(ctx, quotaRoundTimeout)
	defer cancel()
	k.mu.Lock()
	first := k.parents.First()
	k.mu.Unlock()
	addr, err := netip.ParseAddrPort(first.Address)
	if err != nil {
		return
	}
	if reply, err := peer.Call[quota.StartReply](ctx, peers, addr, wire.TypeQuotaStart, call); err == nil {
		k.ledger.ApplyStart(reply, time.Now())
	}
}

func (k *quotaKeeper) handleStart(_ context.Context, from string, call *quota.StartCall) (*quota.StartReply, error) {
	return k.ledger.HandleStart(from, call, time.Now()), nil
}

// run calls the parent until ctx ends.
func (k *quotaKeeper) run(ctx context.Context) {
	for ctx.Err() == nil {
		k.awaitRound(ctx)
		round := k.startRound()
		if k.active.Load() {
			k.callParent(ctx)
		}
		close(round.done)
		k.limited.sweep(time.Now())
		sleep.For(ctx, minQuotaCallInterval)
	}
}

// awaitRound waits until the next round starts.
func (k *quotaKeeper) awaitRound(ctx context.Context) {
	for ctx.Err() == nil {
		k.mu.Lock()
		left := time.Until(k.next.startBy)
		k.mu.Unlock()
		if left <= 0 {
			return
		}
		timer := time.NewTimer(left)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-k.kick:
		}
		timer.Stop()
	}
}

func (k *quotaKeeper) startRound() *quotaRound {
	interval := quotaCallInterval
	if k.ledger.Settles(time.Now()) {
		interval = quotaStartInterval
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	round := k.next
	k.next, k.roundAt = newQuotaRound(interval), time.Now()
	return round
}

// quotaSpacingFor returns the time since the start of a round after which a request that
// may wait for limit starts the next one.
func quotaSpacingFor(limit time.Duration) time.Duration {
	return min(quotaCallSpacing, time.Duration(quotaSpacingFraction*float64(limit)))
}

// ask waits until the parent has replied to a call that is sent from now on, once spacing
// has passed since the latest one. It returns false if that takes longer than limit.
func (k *quotaKeeper) ask(ctx context.Context, limit, spacing time.Duration) bool {
	round := k.callAfter(spacing)
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-round.done:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// callAfter returns the next round, which starts once spacing has passed since the start of
// the latest.
func (k *quotaKeeper) callAfter(spacing time.Duration) *quotaRound {
	k.mu.Lock()
	defer k.mu.Unlock()
	if by := k.roundAt.Add(spacing); by.Before(k.next.startBy) {
		k.next.startBy = by
		k.wake()
	}
	return k.next
}

// wake makes the loop look when the next round starts.
func (k *quotaKeeper) wake() {
	select {
	case k.kick <- struct{}{}:
	default:
	}
}

// sources returns the parent, or the other issuers if there is none.
func (k *quotaKeeper) sources() (*relay.Member, []relay.Member) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if parent, ok := k.parents.Pick(time.Now()); ok {
		return &parent, nil
	}
	return nil, k.parents.Peers(time.Now())
}

// canAsk reports whether another daemon may have units.
func (k *quotaKeeper) canAsk() bool {
	parent, peers := k.sources()
	return parent != nil || len(peers) > 0
}

// callParent calls the parent, and the next one if it does not reply, for at most
// quotaRoundTimeout. The replies of silent ones are awaited for as long.
func (k *quotaKeeper) callParent(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, quotaRoundTimeout)
	defer cancel()
	var silent []<-chan *quota.Reply
	for ctx.Err() == nil {
		parent, peers := k.sources()
		if parent == nil {
			if len(peers) > 0 || len(silent) == 0 {
				k.callPeers(ctx, peers)
				return
			}
			break
		}
		call := k.ledger.NewCall(parent.ID, time.Now())
		reply, late := k.exchange(ctx, *parent, call)
		if reply != nil {
			return
		}
		k.ledger.Fail(call)
		if late != nil {
			silent = append(silent, late)
		}
	}
	for _, late := range silent {
		if <-late != nil {
			return
		}
	}
	k.ledger.RoundFailed(time.Now())
}

// callPeers asks other issuers for the units that are missing.
func (k *quotaKeeper) callPeers(ctx context.Context, peers []relay.Member) {
	call := k.ledger.NewSpareCall(time.Now())
	if call == nil && len(peers) > 0 {
		return
	}
	var silent []<-chan *quota.Reply
	replied := false
	apply := func(reply *quota.Reply) {
		if reply != nil {
			call, replied = call.Rest(reply), true
		}
	}
	for _, p := range peers {
		if len(call.Wants) == 0 {
			return
		}
		reply, late := k.exchange(ctx, p, call)
		apply(reply)
		if late != nil {
			silent = append(silent, late)
		}
	}
	for _, late := range silent {
		if len(call.Wants) > 0 {
			apply(<-late)
		}
	}
	if !replied {
		k.ledger.RoundFailed(time.Now())
	}
}

// exchange sends a call that was made now and applies the reply. A daemon that is silent
// for too long counts as failed. Its reply is applied until ctx ends, and sent to late if
// it is worth waiting for.
func (k *quotaKeeper) exchange(ctx context.Context, to relay.Member, call *quota.Call) (reply *quota.Reply, late <-chan *quota.Reply) {
	addr, err := netip.ParseAddrPort(to.Address)
	if err != nil {
		k.markFailed(to)
		return nil, nil
	}
	sent := time.Now()
	replies := make(chan *quota.Reply, 1)
	go func() {
		reply, err := peer.Call[quota.Reply](ctx, k.peers, addr, wire.TypeQuota, call)
		if err != nil {
			replies <- nil
			return
		}
		k.ledger.Apply(call, reply, sent, time.Now())
		k.markWorking(to, time.Since(sent))
		replies <- reply
	}()
	k.mu.Lock()
	after, known := k.parents.SilentAfter(to.ID)
	k.mu.Unlock()
	timer := time.NewTimer(after)
	defer timer.Stop()
	select {
	case reply := <-replies:
		if reply == nil {
			k.markFailed(to)
		}
		return reply, nil
	case <-timer.C:
		k.markFailed(to)
		if known {
			return nil, nil
		}
		return nil, replies
	}
}

func (k *quotaKeeper) markWorking(m relay.Member, took time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.parents.MarkWorking(m.ID, took)
}

func (k *quotaKeeper) markFailed(m relay.Member) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.parents.MarkFailed(m.ID, time.Now())
}

// serve answers calls of other daemons.
func (k *quotaKeeper) serve(s *peer.Server) {
	peer.Handle(s, wire.TypeQuota, k.handleCall)
	peer.Handle(s, wire.TypeQuotaStart, k.handleStart)
}

func (k *quotaKeeper) handleCall(ctx context.Context, from string, call *quota.Call) (*quota.Reply, error) {
	reply, short := k.ledger.Handle(from, call, time.Now())
	if !short {
		return reply, nil
	}
	if k.canAsk() {
		k.ask(ctx, quotaFillTimeout, 0)
		k.ledger.Fill(call, reply, time.Now())
	}
	return reply, nil
}

// quotaWaitFor returns how long a request may wait for a unit.
func quotaWaitFor(r *routing.Route, deadline, now time.Time) time.Duration {
	limit := min(quotaWait, deadline.Sub(now))
	if r.LatencyObjective > 0 {
		limit = min(limit, time.Duration(quotaWaitFraction*float64(r.LatencyObjective)))
	}
	return limit
}

// admit takes a unit of the organisation's quota for a request, which may wait for at
// most limit, or returns the response that refuses it.
func (k *quotaKeeper) admit(ctx context.Context, o *routing.Organisation, limit time.Duration) (quota.Unit, *localResponse) {
	if o == nil || o.RatePerSecond <= 0 || !k.active.Load() {
		return quota.Unit{}, nil
	}
	verdict := k.take(ctx, o, limit)
	if verdict.Admitted {
		return verdict.Unit, nil
	}
	k.refused.Add(1)
	k.limited.recordRefusal(o.Name, time.Now())
	room := max(verdict.Room, minQuotaRetryAfter)
	// The clients of an organisation come back at different times.
	retryAfter := room + time.Duration(rand.Float64()*float64(room))
	return quota.Unit{}, &localResponse{status: http.StatusTooManyRequests, reason: reasonQuota, retryAfter: retryAfter, organisation: o.Name}
}

// take takes a unit, and asks other daemons for at most limit if there is none.
func (k *quotaKeeper) take(ctx context.Context, o *routing.Organisation, limit time.Duration) quota.Verdict {
	verdict := k.ledger.Take(o.Name, k.canAsk(), time.Now())
	if verdict.Ask {
		k.ask(ctx, limit, quotaSpacingFor(limit))
		verdict = k.ledger.TakeAgain(o.Name, time.Now())
	}
	return verdict
}

// admitCopy takes another unit for a request that may run a second time. It does not ask
// other daemons, since an answer to the first copy would wait as long.
func (k *quotaKeeper) admitCopy(o *routing.Organisation) (quota.Unit, bool) {
	if o == nil || o.RatePerSecond <= 0 || !k.active.Load() {
		return quota.Unit{}, true
	}
	verdict := k.ledger.Take(o.Name, false, time.Now())
	return verdict.Unit, verdict.Admitted
}

// release gives back the unit of a request that has not run.
func (k *quotaKeeper) release(o *routing.Organisation, u quota.Unit) {
	if o != nil && u != (quota.Unit{}) {
		k.ledger.Return(o.Name, u, time.Now())
	}
}
