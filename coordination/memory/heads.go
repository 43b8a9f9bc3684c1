package memory

import (
	"slices"
	"sync"
	"time"
)

const (
	// FreeHeadBytes and FreeHeadFields are the size of the head of a request, in bytes and
	// header fields, whose memory is that of its connection.
	FreeHeadBytes  = 4 << 10
	FreeHeadFields = 64
	// HeadWait is how long a large head waits for a place before it is refused, and HeadTime
	// how long it may keep one while others wait.
	HeadWait = time.Second
	HeadTime = HeadWait / 2
	// headsShare is the fraction of the budget for large heads while they are parsed, and
	// parsedBytes what a byte of a head with the shortest fields takes then.
	headsShare  = 0.1
	parsedBytes = 32
)

// Heads decides which large heads of requests may be parsed. A parsed head takes many times
// its size, so only a few have a place at once; the others wait in order, still unparsed.
// It is safe for concurrent use.
type Heads struct {
	budget *Budget

	mu sync.Mutex
	// places is the number of places, or 0 without a limit, and bytes what each one takes.
	places int
	bytes  int64
	// parsing and waiting hold the oldest head first.
	parsing, waiting []*Head
}

// Head is a large head that has a place or waits for one.
type Head struct {
	heads    *Heads
	admitted chan struct{}
	revoke   func()
	revoked  bool
	since    time.Time
	// bytes is what the head occupies of the budget.
	bytes int64
}

// NewHeads returns places for heads of up to headBytes bytes within a budget.
func NewHeads(b *Budget, headBytes int) *Heads {
	h := &Heads{budget: b}
	h.SetHeadBytes(headBytes)
	return h
}

// SetHeadBytes sets the largest size of a head, from which the number of places follows.
func (h *Heads) SetHeadBytes(headBytes int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bytes = parsedBytes * int64(max(headBytes, FreeHeadBytes))
	if size := h.budget.Usage().SizeBytes; size > 0 {
		h.places = max(1, int(headsShare*float64(size)/float64(h.bytes)))
	}
}

// Enter asks for a place. revoke is called at most once, to make the head give up its
// place; it must not block or call Heads.
func (h *Heads) Enter(now time.Time, revoke func()) *Head {
	h.mu.Lock()
	defer h.mu.Unlock()
	head := &Head{heads: h, admitted: make(chan struct{}), revoke: revoke}
	h.waiting = append(h.waiting, head)
	h.admit(now)
	return head
}

// Admitted returns a channel that is closed when the head has a place.
func (h *Head) Admitted() <-chan struct{} { return h.admitted }

// Leave gives up the place of a head, or its wait for one. It may be called more than once.
func (h *Head) Leave(now time.Time) {
	h.heads.mu.Lock()
	defer h.heads.mu.Unlock()
	isHead := func(other *Head) bool { return other == h }
	h.heads.parsing = slices.DeleteFunc(h.heads.parsing, isHead)
	h.heads.waiting = slices.DeleteFunc(h.heads.waiting, isHead)
	h.heads.budget.Occupy(-h.bytes)
	h.bytes = 0
	h.heads.admit(now)
}

// Expire tells heads that have kept their places for HeadTime to give them up to those
// that wait.
func (h *Heads) Expire(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, head := range h.parsing {
		if i < len(h.waiting) && !head.revoked && now.Sub(head.since) >= HeadTime {
			head.revoked = true
			head.revoke()
		}
	}
}

// admit gives places to those that wait. The caller holds mu.
func (h *Heads) admit(now time.Time) {
	for len(h.waiting) > 0 && (h.places == 0 || len(h.parsing) < h.places) {
		head := h.waiting[0]
		h.waiting = h.waiting[1:]
		head.since, head.bytes = now, h.bytes
		h.budget.Occupy(head.bytes)
		h.parsing = append(h.parsing, head)
		close(head.admitted)
	}
}
