package permit

import (
	"container/heap"
	"container/list"
	"crypto/sha256"
	"errors"
	"sync"
	"time"

	"bilberrytiller.example/tiller/state/request"
)

// ExpiryMargin is how long an entry is kept past its key's expiry. It bounds
// the difference between the clocks of a daemon and of its successor.
const ExpiryMargin = 2 * time.Minute

// Errors of Table.Begin.
var (
	// ErrNotOwner says that the table does not decide the key.
	ErrNotOwner = errors.New("key belongs to another incarnation")
	// ErrExpired says that a key is past its expiry.
	ErrExpired = errors.New("key has expired")
	// ErrKeyReused says that a key came with another request than before.
	ErrKeyReused = errors.New("key was used for another request")
	// ErrTableFull says that the table holds as many keys as it may.
	ErrTableFull = errors.New("too many keys are held")
	// ErrFrozen says that the table is handed over and starts nothing more.
	ErrFrozen = errors.New("keys are handed over")
)

// Limits bound a table.
type Limits struct {
	// MaxKeys is how many keys are held at once.
	MaxKeys int
	// MaxAnswerBytes is how much of all answers is kept. Beyond it the oldest
	// answers are dropped; their keys stay.
	MaxAnswerBytes int
}

// Table records the keys that one incarnation has run, and those that it
// took over from others. It is safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	limits Limits
	self   string
	// owned maps each incarnation taken over to the expiry of its last key.
	owned    map[string]time.Time
	entries  map[string]*entry
	byExpiry expiryHeap
	// kept lists the entries whose answer is held, oldest first.
	kept      list.List
	keptBytes int
	running   int
	frozen    bool
	quiet     chan struct{}
}

// entry is one key. Its run is replaced when the answer is dropped, so that
// those who wait for the earlier run still get its answer.
type entry struct {
	nonce   string
	digest  [sha256.Size]byte
	expires time.Time
	run     *Run
	settled bool
	index   int
	bytes   int
	element *list.Element
}

// Run is one key's single run.
type Run struct {
	done      chan struct{}
	abandoned chan struct{}
	waiters   int
	answer    request.Answer
}

// NewTable returns an empty table of the given incarnation.
func NewTable(incarnation string, limits Limits) *Table {
	return &Table{
		limits:  limits,
		self:    incarnation,
		owned:   map[string]time.Time{},
		entries: map[string]*entry{},
		quiet:   make(chan struct{}),
	}
}

// Owns reports whether the table decides the keys of an incarnation.
func (t *Table) Owns(incarnation string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.owns(incarnation)
}

// Begin records a key. It returns true for the first request with the key,
// whose run must end with Finish, and the earlier run for a repeated one.
// Whoever gets a run waits for it and must call Leave once.
func (t *Table) Begin(key Key, req *request.Request, now time.Time) (*Run, bool, error) {
	digest := Digest(req)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.purge(now)
	if !t.owns(key.Owner) {
		return nil, false, ErrNotOwner
	}
	if key.Expired(now) {
		return nil, false, ErrExpired
	}
	if held, ok := t.entries[key.nonce]; ok {
		return held.join(digest)
	}
	if t.frozen {
		return nil, false, ErrFrozen
	}
	if len(t.entries) >= t.limits.MaxKeys {
		return nil, false, ErrTableFull
	}
	run := newRun()
	run.waiters = 1
	t.add(&entry{nonce: key.nonce, digest: digest, expires: key.Expires, run: run})
	t.running++
	return run, true, nil
}

// Finish records the end of a run. One that is proved not to have happened
// stays recorded as well: a copy of the request that was held back on its way
// must not run after its caller was told.
func (t *Table) Finish(key Key, run *Run, answer request.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	run.answer = answer
	close(run.done)
	t.running--
	if t.frozen && t.running == 0 {
		close(t.quiet)
	}
	e := t.entries[key.nonce]
	e.settled = true
	e.run = endedRun(answer)
	t.keep(e)
}

// StopWaiting says that one who waited for a run does so no more.
func (t *Table) StopWaiting(run *Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	run.waiters--
	if run.waiters == 0 && !run.ended() && !run.left() {
		close(run.abandoned)
	}
}

// Freeze makes the table start no more runs, for good. The channel that it
// returns is closed once no run is left.
func (t *Table) Freeze() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.frozen && t.running == 0 {
		close(t.quiet)
	}
	t.frozen = true
	return t.quiet
}

// Purge forgets the keys that are past their expiry and margin.
func (t *Table) Purge(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.purge(now)
}

// Len returns the number of keys held.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}

// ended is closed.
var ended = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

func newRun() *Run {
	return &Run{done: make(chan struct{}), abandoned: make(chan struct{})}
}

// Done is closed when the run has ended.
func (r *Run) Done() <-chan struct{} { return r.done }

// Abandoned is closed when all who waited have left before the end.
func (r *Run) Abandoned() <-chan struct{} { return r.abandoned }

// Answer returns the run's answer. It is valid once Done is closed.
func (r *Run) Answer() request.Answer { return r.answer }

func (r *Run) ended() bool { return closed(r.done) }

func (r *Run) left() bool { return closed(r.abandoned) }

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func (e *entry) join(digest [sha256.Size]byte) (*Run, bool, error) {
	if e.digest != digest {
		return nil, false, ErrKeyReused
	}
	e.run.waiters++
	return e.run, false, nil
}

func (t *Table) owns(incarnation string) bool {
	_, taken := t.owned[incarnation]
	return taken || incarnation == t.self
}

func (t *Table) add(e *entry) {
	t.entries[e.nonce] = e
	heap.Push(&t.byExpiry, e)
}

func (t *Table) remove(e *entry) {
	t.drop(e)
	heap.Remove(&t.byExpiry, e.index)
	delete(t.entries, e.nonce)
}

// purge removes entries past their expiry and margin. Each entry is removed
// once, so that its cost is shared by the calls that added entries.
func (t *Table) purge(now time.Time) {
	limit := now.Add(-ExpiryMargin)
	for len(t.byExpiry) > 0 && t.byExpiry[0].expires.Before(limit) {
		e := t.byExpiry[0]
		if !e.settled {
			// A run that is still going keeps its key.
			e.expires = now
			heap.Fix(&t.byExpiry, 0)
			continue
		}
		t.remove(e)
	}
	for incarnation, expires := range t.owned {
		if expires.Before(limit) {
			delete(t.owned, incarnation)
		}
	}
}

// keep holds an entry's answer and drops the oldest ones beyond the limit.
func (t *Table) keep(e *entry) {
	e.bytes = size(e.run.answer)
	e.element = t.kept.PushBack(e)
	t.keptBytes += e.bytes
	for t.keptBytes > t.limits.MaxAnswerBytes {
		oldest := t.kept.Front().Value.(*entry)
		answer := oldest.run.answer
		t.drop(oldest)
		oldest.run = endedRun(notKept(answer))
	}
}

// drop stops counting an entry's answer.
func (t *Table) drop(e *entry) {
	if e.element == nil {
		return
	}
	t.kept.Remove(e.element)
	t.keptBytes -= e.bytes
	e.element, e.bytes = nil, 0
}

// endedRun returns a run without channels of its own, since most of what a
// table holds are ended runs.
func endedRun(answer request.Answer) *Run {
	return &Run{done: ended, abandoned: ended, answer: answer}
}

// notKept returns what is left of an answer that is too large to keep.
func notKept(answer request.Answer) request.Answer {
	if answer.Outcome != request.OutcomeDone {
		return request.Answer{Outcome: answer.Outcome, Reason: answer.Reason}
	}
	return request.Answer{Outcome: request.OutcomeDone, Reason: request.ReasonAnswerNotKept, Upstream: answer.Upstream}
}

func size(a request.Answer) int {
	n := len(a.Body) + len(a.Detail)
	for name, values := range a.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// expiryHeap orders entries by expiry, soonest first.
type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push adds an entry. It is called by package heap only.
func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop removes the last entry. It is called by package heap only.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}

// Digest returns what binds a key to a request: its service and content.
func Digest(req *request.Request) [sha256.Size]byte {
	return request.Digest(req.Body, req.Service, req.Method, req.Path)
}
