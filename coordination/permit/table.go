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

// ExpiryMargin is how long an entry is kept after its key has expired. It is
// the maximum clock difference between a daemon and its successor that is
// tolerated.
const ExpiryMargin = 2 * time.Minute

// Errors returned by Table.Begin.
var (
	// ErrNotOwner means that the table does not own the key.
	ErrNotOwner = errors.New("key belongs to another incarnation")
	// ErrExpired means that the key has expired.
	ErrExpired = errors.New("key has expired")
	// ErrKeyReused means that the key was used before with a different
	// request.
	ErrKeyReused = errors.New("key was used with a different request")
	// ErrTableFull means that the table holds its maximum number of keys.
	ErrTableFull = errors.New("key table is full")
	// ErrFrozen means that the table is being handed over and starts no more
	// runs.
	ErrFrozen = errors.New("key table is frozen for a handover")
)

// Limits bounds the size of a table.
type Limits struct {
	// MaxKeys is the maximum number of keys.
	MaxKeys int
	// MaxAnswerBytes is the maximum total size of the kept answers. Beyond it
	// the oldest answers are dropped, but their keys stay.
	MaxAnswerBytes int
}

// Table records the keys that one incarnation has run and the keys that it
// took over from other incarnations. It is safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	limits Limits
	self   string
	// owned maps each incarnation whose keys were taken over to the expiry of
	// its last key.
	owned    map[string]time.Time
	entries  map[string]*entry
	byExpiry expiryHeap
	// keptAnswers lists the entries whose answer is kept, oldest first.
	keptAnswers list.List
	keptBytes   int
	running     int
	frozen      bool
	// drained is closed once the table is frozen and no run is in progress.
	drained chan struct{}
}

// entry is the state of one key. When its answer is dropped, run is replaced
// rather than changed, so that callers that wait for the earlier run still get
// the answer.
type entry struct {
	nonce       string
	digest      [sha256.Size]byte
	expires     time.Time
	run         *Run
	finished    bool
	heapIndex   int
	answerBytes int
	keptElement *list.Element
}

// Run is the only run of one key.
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
		drained: make(chan struct{}),
	}
}

// Owns reports whether the table owns the keys of an incarnation.
func (t *Table) Owns(incarnation string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.owns(incarnation)
}

// Begin records a request with a key and returns its run. It returns true for
// the first request with the key: the caller must then end the run with
// Finish. For a repeated request it returns the earlier run and false. Every
// caller that gets a run is counted as waiting for it and must call
// StopWaiting once.
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
	if existing, ok := t.entries[key.nonce]; ok {
		return existing.addWaiter(digest)
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

// Finish records the answer of a run. The key stays recorded even if the
// request certainly did not run: a delayed copy of the request must not run
// after its caller was told so.
func (t *Table) Finish(key Key, run *Run, answer request.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	run.answer = answer
	close(run.done)
	t.running--
	if t.frozen && t.running == 0 {
		close(t.drained)
	}
	e := t.entries[key.nonce]
	e.finished = true
	e.run = finishedRun(answer)
	t.keepAnswer(e)
}

// StopWaiting records that one caller no longer waits for a run.
func (t *Table) StopWaiting(run *Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	run.waiters--
	if run.waiters == 0 && !run.isDone() && !run.isAbandoned() {
		close(run.abandoned)
	}
}

// Freeze permanently stops the table from starting runs. The returned channel
// is closed once no run is in progress.
func (t *Table) Freeze() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.frozen && t.running == 0 {
		close(t.drained)
	}
	t.frozen = true
	return t.drained
}

// Purge removes the keys that expired more than ExpiryMargin ago.
func (t *Table) Purge(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.purge(now)
}

// Len returns the number of keys in the table.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}

// closedChan is a closed channel that all finished runs share.
var closedChan = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

func newRun() *Run {
	return &Run{done: make(chan struct{}), abandoned: make(chan struct{})}
}

// Done returns a channel that is closed when the run has ended.
func (r *Run) Done() <-chan struct{} { return r.done }

// Abandoned returns a channel that is closed when all waiting callers have
// stopped waiting before the run ended.
func (r *Run) Abandoned() <-chan struct{} { return r.abandoned }

// Answer returns the run's answer. It is valid once Done is closed.
func (r *Run) Answer() request.Answer { return r.answer }

func (r *Run) isDone() bool { return isClosed(r.done) }

func (r *Run) isAbandoned() bool { return isClosed(r.abandoned) }

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func (e *entry) addWaiter(digest [sha256.Size]byte) (*Run, bool, error) {
	if e.digest != digest {
		return nil, false, ErrKeyReused
	}
	e.run.waiters++
	return e.run, false, nil
}

func (t *Table) owns(incarnation string) bool {
	_, takenOver := t.owned[incarnation]
	return takenOver || incarnation == t.self
}

func (t *Table) add(e *entry) {
	t.entries[e.nonce] = e
	heap.Push(&t.byExpiry, e)
}

func (t *Table) remove(e *entry) {
	t.forgetAnswer(e)
	heap.Remove(&t.byExpiry, e.heapIndex)
	delete(t.entries, e.nonce)
}

// purge removes the entries that expired more than ExpiryMargin ago. Each
// entry is removed only once, so the amortized cost per added entry is small.
func (t *Table) purge(now time.Time) {
	cutoff := now.Add(-ExpiryMargin)
	for len(t.byExpiry) > 0 && t.byExpiry[0].expires.Before(cutoff) {
		e := t.byExpiry[0]
		if !e.finished {
			// An unfinished run keeps its key, so the entry is checked again
			// later.
			e.expires = now
			heap.Fix(&t.byExpiry, 0)
			continue
		}
		t.remove(e)
	}
	for incarnation, expires := range t.owned {
		if expires.Before(cutoff) {
			delete(t.owned, incarnation)
		}
	}
}

// keepAnswer keeps an entry's answer and drops the oldest answers beyond the
// limit.
func (t *Table) keepAnswer(e *entry) {
	e.answerBytes = answerSize(e.run.answer)
	e.keptElement = t.keptAnswers.PushBack(e)
	t.keptBytes += e.answerBytes
	for t.keptBytes > t.limits.MaxAnswerBytes {
		oldest := t.keptAnswers.Front().Value.(*entry)
		answer := oldest.run.answer
		t.forgetAnswer(oldest)
		oldest.run = finishedRun(withoutContent(answer))
	}
}

// forgetAnswer removes an entry from the kept answers and their total size.
func (t *Table) forgetAnswer(e *entry) {
	if e.keptElement == nil {
		return
	}
	t.keptAnswers.Remove(e.keptElement)
	t.keptBytes -= e.answerBytes
	e.keptElement, e.answerBytes = nil, 0
}

// finishedRun returns a run that has ended. It shares its channels with all
// other finished runs, because most entries of a table hold one.
func finishedRun(answer request.Answer) *Run {
	return &Run{done: closedChan, abandoned: closedChan, answer: answer}
}

// withoutContent returns what remains of an answer that is dropped to save
// memory.
func withoutContent(answer request.Answer) request.Answer {
	if answer.Outcome != request.OutcomeDone {
		return request.Answer{Outcome: answer.Outcome, Reason: answer.Reason}
	}
	return request.Answer{Outcome: request.OutcomeDone, Reason: request.ReasonAnswerNotKept, Upstream: answer.Upstream}
}

func answerSize(a request.Answer) int {
	n := len(a.Body) + len(a.Detail)
	for name, values := range a.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// expiryHeap orders entries by expiry, earliest first.
type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}

// Digest returns the hash that binds a key to a request. It covers the
// service, method, path and body.
func Digest(req *request.Request) [sha256.Size]byte {
	return request.Digest(req.Body, req.Service, req.Method, req.Path)
}
