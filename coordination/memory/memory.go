// Package memory decides who may use the memory of a daemon. Request bodies and answers
// reserve from one budget as their bytes come, and release it when they end.
//
// A reservation that does not fit is refused at once. Large bodies cannot use all of the
// budget, so that small ones find room beside them, and neither can take the part that
// answers need: the requests of those have run. Whoever stands still and holds memory is
// told to give it up when others need it, the one without progress for longest first.
package memory

import (
	"errors"
	"sync"
	"time"
)

const (
	// SmallBytes is the size up to which a body counts as small.
	SmallBytes = 64 << 10
	// largeShare, smallShare are the fractions of the budget up to which large and small
	// bodies may fill it. Answers may use all of it.
	largeShare, smallShare = 0.75, 0.85
	// garbageShare is the fraction of the budget's size that memory may take which was
	// released, but is not collected yet, before it counts as in use.
	garbageShare = 0.1
	// StallTime is how long a holder makes no progress before it may have to give up its
	// memory. It is longer than a round trip between regions with one packet lost.
	StallTime = time.Second
)

// ErrShortage means that a reservation does not fit into the budget.
var ErrShortage = errors.New("memory of the daemon is in use")

// Budget is the memory that holders share. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	size    int64
	used    int64
	holders map[*Holder]bool
	// refused counts the reservations of bodies that did not fit, revoked the holders that were
	// told to give up their memory.
	refused, revoked, collections int64
	// garbage is what was released since collect was called, which is nil if garbage does not
	// count. collecting is held meanwhile, and locked before mu.
	garbage    int64
	collect    func()
	collecting sync.Mutex
}

// New returns a budget of size bytes. Zero or less means that it has no limit.
func New(size int64) *Budget { return &Budget{size: size, holders: map[*Holder]bool{}} }

// SetCollector lets memory that was released count as in use until collect has returned.
// collect is called when a reservation fits only without it, and must not call the budget.
func (b *Budget) SetCollector(collect func()) { b.collect = collect }

// Holder is a body or an answer that uses memory.
type Holder struct {
	budget   *Budget
	revoke   func()
	bytes    int64
	progress time.Time
	revoked  bool
}

// Hold returns a holder without memory. revoke is called at most once, to make the holder
// release its memory; it must not block or call the budget.
func (b *Budget) Hold(now time.Time, revoke func()) *Holder {
	h := &Holder{budget: b, revoke: revoke, progress: now}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holders[h] = true
	return h
}

// Grow reserves n more bytes for a body. The error is ErrShortage.
func (h *Holder) Grow(n int64, now time.Time) error {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	h.progress = now
	share := smallShare
	if h.bytes+n > SmallBytes {
		share = largeShare
	}
	if err := b.reserve(n, share, now); err != nil {
		b.refused++
		return err
	}
	h.bytes += n
	return nil
}

// Add counts n bytes that the holder has already, also if they exceed the budget.
func (h *Holder) Add(n int64, now time.Time) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	h.progress = now
	h.bytes += n
	b.used += n
	if b.size > 0 && b.used > b.size {
		b.revokeStalled(b.used-b.size, now)
	}
}

// Keep excludes the holder from those that may have to give up their memory.
func (h *Holder) Keep() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.revoke = nil
}

// Progress records that the holder makes progress.
func (h *Holder) Progress(now time.Time) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.progress = now
}

// Release releases all memory of the holder. It may be called more than once.
func (h *Holder) Release() {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free(h.bytes)
	h.bytes = 0
	delete(b.holders, h)
}

// free releases n bytes. The caller holds mu.
func (b *Budget) free(n int64) {
	b.used -= n
	if b.collect != nil {
		b.garbage += n
	}
}

// garbageBlocks reports whether n bytes fit below a limit but for garbage. The caller holds mu.
func (b *Budget) garbageBlocks(n, limit int64) bool {
	return b.used+n <= limit && b.used+n+b.garbage-int64(garbageShare*float64(b.size)) > limit
}

// collectGarbage lets n bytes fit below a limit. The caller holds mu, which is released
// meanwhile.
func (b *Budget) collectGarbage(n, limit int64) {
	b.mu.Unlock()
	b.collecting.Lock()
	defer b.collecting.Unlock()
	b.mu.Lock()
	if !b.garbageBlocks(n, limit) {
		return
	}
	garbage := b.garbage
	b.mu.Unlock()
	b.collect()
	b.mu.Lock()
	b.garbage -= garbage
	b.collections++
}

// reserve reserves n bytes within a share of the budget. The caller holds mu, which may be
// released meanwhile.
func (b *Budget) reserve(n int64, share float64, now time.Time) error {
	limit := int64(share * float64(b.size))
	if b.size > 0 && b.garbageBlocks(n, limit) {
		b.collectGarbage(n, limit)
	}
	if b.size > 0 && b.used+n > limit {
		b.revokeStalled(b.used+n-limit, now)
		return ErrShortage
	}
	b.used += n
	return nil
}

// revokeStalled tells holders without progress to give up n bytes or more, the one that
// has stood still for longest first. The caller holds mu.
func (b *Budget) revokeStalled(n int64, now time.Time) {
	for n > 0 {
		var oldest *Holder
		for h := range b.holders {
			if h.revoke == nil || h.revoked || h.bytes == 0 || now.Sub(h.progress) < StallTime {
				continue
			}
			if oldest == nil || h.progress.Before(oldest.progress) {
				oldest = h
			}
		}
		if oldest == nil {
			return
		}
		oldest.revoked = true
		b.revoked++
		oldest.revoke()
		n -= oldest.bytes
	}
}

// Occupy counts n bytes that are in use without a holder, also if they exceed the budget.
// A negative n counts bytes that are no longer in use.
func (b *Budget) Occupy(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used += n
}

// Answers returns the budget as seen by answers that are being read.
func (b *Budget) Answers(now func() time.Time) *Answers { return &Answers{b, now} }

// Answers reserves memory for answers that are being read.
type Answers struct {
	budget *Budget
	now    func() time.Time
}

// TryAcquire reserves n bytes and reports whether they fit.
func (a *Answers) TryAcquire(n int64) bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.budget.reserve(n, 1, a.now()) == nil
}

// Release releases n bytes.
func (a *Answers) Release(n int64) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.free(n)
}

// Usage is the use of a budget.
type Usage struct {
	// SizeBytes and UsedBytes are the size of the budget and what is in use.
	SizeBytes int64 `json:"size_bytes"`
	UsedBytes int64 `json:"used_bytes"`
	// Refused counts the reservations of bodies that did not fit, Revoked the holders that had to
	// give up their memory.
	Refused int64 `json:"refused"`
	Revoked int64 `json:"revoked"`
	// Collections counts how often garbage had to be collected for a reservation.
	Collections int64 `json:"collections"`
}

// Usage returns the use of the budget.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{b.size, b.used, b.refused, b.revoked, b.collections}
}
