package quota

import "time"

const (
	// pledgePeriod is the longest time for which a starting process says that it uses no
	// parts.
	pledgePeriod = 500 * time.Millisecond
	// maxStarting bounds the daemons that one daemon releases, since all call it.
	maxStarting = 256
	// settlePeriod is the time after its release in which a process calls its parent
	// more often, so that the parts come together.
	settlePeriod = time.Second
	// maxNewFraction is the largest fraction of the processes that are released of which no
	// earlier process is in the list.
	maxNewFraction = 1.0 / 8
)

// StartCall tells the fleet's first daemon that a process has started and uses no parts.
type StartCall struct {
	Process string `cbor:"i"`
	// Echo is the mark of the latest reply, and WaitsFor for how long after it the process
	// uses no parts unless it is released.
	Echo     Mark          `cbor:"e,omitzero"`
	WaitsFor time.Duration `cbor:"w,omitempty"`
	// Daemons is the number of daemons that the process knows.
	Daemons int `cbor:"n,omitempty"`
	// New says that no earlier process of the host was in the list.
	New bool `cbor:"f,omitempty"`
}

// StartReply is the reply to a StartCall.
type StartReply struct {
	// Mark is zero if the replying process releases nobody.
	Mark Mark `cbor:"m,omitzero"`
	// Released is the process that may use its part at once, and Daemons the number of
	// parts.
	Released string `cbor:"r,omitempty"`
	Daemons  int    `cbor:"n,omitempty"`
}

// pledge is the word of a process not to use parts until a time, unless it is released.
type pledge struct {
	process string
	until   time.Time
	isNew   bool
}

// start releases the processes of a fleet that have all started anew.
//
// A process that has just started cannot know who still uses the part that an earlier
// process of its host handed over, and waits until that has ended. While it waits it
// holds no parts, and it has given no mark by which it could be handed any. So if there is
// a moment at which all processes of the fleet wait, nobody uses a part, and each may use
// its own from then on. The fleet's first daemon collects the pledges, and finds that
// moment. A process pledges itself to one process only, so that no other can release it
// while the pledge counts.
type start struct {
	// members are the other daemons, and first says whether this one is the first.
	members []string
	first   bool
	// rejoined says that an earlier process of the host was in the list, so that the list
	// is that of a running fleet.
	rejoined bool

	// collector is the process to which this one pledged itself, and echo the mark of its
	// latest reply, received at echoAt.
	collector string
	echo      Mark
	echoAt    time.Time

	// pledges are by daemon, and mostDaemons is the largest number that a caller knows.
	pledges     map[string]pledge
	mostDaemons int
	// released are the processes that this one has released.
	released map[string]bool
}

// SetFleet sets the other daemons of the fleet, and whether this one is the first of all.
func (l *Ledger) SetFleet(others []string, first bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.start.members, l.start.first = others, first
}

// Rejoin records that the list of daemons has an earlier process of the host. Only then may
// the process release others, and most of those must have rejoined too: while a fleet starts
// for the first time, each daemon may know other parts of the list. A few that have not may
// have stopped just before. Their earlier processes have ended, as a process makes no call
// before it has its host's addresses.
func (l *Ledger) Rejoin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.start.rejoined = true
}

// NewStartCall returns the call to make to the fleet's first daemon, or nil if the process
// does not wait to be released.
func (l *Ledger) NewStartCall(now time.Time) *StartCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.start.first || !l.mayBeReleased(now) {
		return nil
	}
	call := &StartCall{Process: l.process, Daemons: len(l.start.members) + 1, New: !l.start.rejoined}
	if l.start.collector != "" {
		call.Echo = l.start.echo
		call.WaitsFor = min(l.holding.waitsUntil().Sub(l.start.echoAt), pledgePeriod)
	}
	return call
}

func (l *Ledger) mayBeReleased(now time.Time) bool {
	others := len(l.start.members)
	return l.holding.waits(now) && l.holding.listed && others > 0 && others < maxStarting
}

// HandleStart answers the call of a process that waits.
func (l *Ledger) HandleStart(daemon string, call *StartCall, now time.Time) *StartReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	reply := &StartReply{}
	if l.start.first && l.start.rejoined && l.start.collector == "" && l.mayBeReleased(now) {
		reply.Mark = l.mark(now)
		l.receivePledge(daemon, call)
		l.releaseIfAllWait(now)
	}
	if l.start.released[call.Process] {
		reply.Released, reply.Daemons = call.Process, l.holding.count
	}
	return reply
}

func (l *Ledger) receivePledge(daemon string, call *StartCall) {
	l.start.mostDaemons = max(l.start.mostDaemons, call.Daemons)
	if call.Echo.Process != l.process {
		return
	}
	until := l.holding.started.Add(call.Echo.Clock + min(call.WaitsFor, pledgePeriod))
	if l.start.pledges == nil {
		l.start.pledges = map[string]pledge{}
	}
	l.start.pledges[daemon] = pledge{call.Process, until, call.New}
}

// releaseIfAllWait releases the fleet if all of its processes wait now. A caller that
// knows more daemons may know one that does not wait.
func (l *Ledger) releaseIfAllWait(now time.Time) {
	if l.start.mostDaemons > len(l.start.members)+1 {
		return
	}
	released, added := map[string]bool{}, 0
	for _, m := range l.start.members {
		p, ok := l.start.pledges[m]
		if !ok || !now.Before(p.until) {
			return
		}
		released[p.process] = true
		if p.isNew {
			added++
		}
	}
	if float64(added) > maxNewFraction*float64(len(l.start.members)+1) {
		return
	}
	l.start.released, l.start.pledges = released, nil
	l.holding.release(len(l.start.members)+1, now)
}

// ApplyStart records the reply to a StartCall.
func (l *Ledger) ApplyStart(reply *StartReply, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if reply.Released == l.process && l.holding.waits(now) {
		l.holding.release(reply.Daemons, now)
	}
	if reply.Mark.Process == "" {
		return
	}
	if l.start.collector == "" {
		l.start.collector = reply.Mark.Process
	}
	if reply.Mark.Process == l.start.collector {
		l.start.echo, l.start.echoAt = reply.Mark, now
	}
}

// Waits reports whether the process uses no parts yet.
func (l *Ledger) Waits(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holding.waits(now)
}

// Settles reports whether the process was released a short time ago, so that the parts
// have yet to come together.
func (l *Ledger) Settles(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.holding.releasedAt) < settlePeriod
}
