package permit

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"bilberrytiller.example/tiller/state/request"
)

const (
	// MaxChunkBytes is about how much of the kept answers one chunk carries.
	MaxChunkBytes = 1 << 20
	// maxChunkRecords bounds the records of one chunk.
	maxChunkRecords = 4096
	// maxChunks bounds the chunks of one hand-over.
	maxChunks = 1 << 12
	// maxPending bounds the hand-overs that arrive at once.
	maxPending = 32
	// pendingTimeout is how long an incomplete hand-over is kept after its
	// last chunk. Its sender, if it lives, starts again.
	pendingTimeout = time.Minute
)

// Errors of Receiver.Accept.
var (
	// ErrOtherIncarnation says that a chunk was meant for another incarnation.
	ErrOtherIncarnation = errors.New("hand-over is meant for another incarnation")
	// ErrInvalidChunk says that a chunk contradicts itself or an earlier one.
	ErrInvalidChunk = errors.New("chunk does not fit its hand-over")
	// ErrTooManyHandovers says that too many hand-overs arrive at once.
	ErrTooManyHandovers = errors.New("too many hand-overs at once")
)

// Record is one key of a table that is handed over.
type Record struct {
	Nonce   string            `cbor:"n"`
	Digest  [sha256.Size]byte `cbor:"d"`
	Expires time.Time         `cbor:"x"`
	// Answer is the recorded answer. That of a run without an end is unknown.
	Answer request.Answer `cbor:"a"`
}

// OwnedIncarnation is an incarnation whose keys a table decides.
type OwnedIncarnation struct {
	Incarnation string `cbor:"i"`
	// Expires is the expiry of its last key.
	Expires time.Time `cbor:"x"`
}

// Handover is a table on its way to the one successor of its incarnation.
type Handover struct {
	From    string
	Owned   []OwnedIncarnation
	Records []Record
}

// Expires returns when the last key of the hand-over expires.
func (h Handover) Expires() time.Time {
	var last time.Time
	for _, o := range h.Owned {
		if o.Expires.After(last) {
			last = o.Expires
		}
	}
	return last
}

// Chunk is one part of a hand-over. Chunks may arrive in any order and more
// than once.
type Chunk struct {
	From    string             `cbor:"f"`
	To      string             `cbor:"t"`
	Index   int                `cbor:"i"`
	Count   int                `cbor:"c"`
	Owned   []OwnedIncarnation `cbor:"o,omitempty"`
	Records []Record           `cbor:"r,omitempty"`
}

// Receipt says what became of a hand-over at its receiver.
type Receipt struct {
	// Complete says that the receiver owns the keys.
	Complete bool `cbor:"c,omitempty"`
	// Refused says that the receiver does not own the keys and never will.
	Refused bool `cbor:"r,omitempty"`
}

// Export returns a frozen table. Keys of the own incarnation may have been
// issued until now with an expiry up to lastIssued.
func (t *Table) Export(lastIssued time.Time) Handover {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := Handover{From: t.self, Owned: []OwnedIncarnation{{Incarnation: t.self, Expires: lastIssued}}}
	for _, incarnation := range slices.Sorted(maps.Keys(t.owned)) {
		h.Owned = append(h.Owned, OwnedIncarnation{Incarnation: incarnation, Expires: t.owned[incarnation]})
	}
	for _, nonce := range slices.Sorted(maps.Keys(t.entries)) {
		h.Records = append(h.Records, t.entries[nonce].record())
	}
	for _, r := range h.Records {
		if r.Expires.After(h.Owned[0].Expires) {
			h.Owned[0].Expires = r.Expires
		}
	}
	return h
}

func (e *entry) record() Record {
	r := Record{Nonce: e.nonce, Digest: e.digest, Expires: e.expires}
	if !e.settled {
		r.Answer = request.UnknownAnswer(request.ReasonStopping, "still running when its keys were handed over")
		return r
	}
	r.Answer = e.run.answer
	return r
}

// Import takes a hand-over in. Records are taken beyond the table's limit of
// keys, since a key that is forgotten could run again.
func (t *Table) Import(h Handover) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.frozen {
		return ErrFrozen
	}
	for _, o := range h.Owned {
		t.owned[o.Incarnation] = o.Expires
	}
	for _, r := range h.Records {
		if _, ok := t.entries[r.Nonce]; ok {
			continue
		}
		e := &entry{nonce: r.Nonce, digest: r.Digest, expires: r.Expires, settled: true, run: endedRun(r.Answer)}
		t.add(e)
		t.keep(e)
	}
	return nil
}

// Split returns a hand-over's chunks for a successor, each with at most the
// given number of records.
func (h Handover) Split(to string, maxRecords int) []Chunk {
	var parts [][]Record
	bytes := 0
	for _, r := range h.Records {
		last := len(parts) - 1
		if last < 0 || bytes >= MaxChunkBytes || len(parts[last]) >= maxRecords {
			parts = append(parts, nil)
			bytes, last = 0, last+1
		}
		parts[last] = append(parts[last], r)
		bytes += size(r.Answer)
	}
	if len(parts) == 0 {
		parts = [][]Record{nil}
	}
	chunks := make([]Chunk, 0, len(parts))
	for i, records := range parts {
		chunks = append(chunks, Chunk{From: h.From, To: to, Index: i, Count: len(parts), Owned: h.Owned, Records: records})
	}
	return chunks
}

// Receiver collects the chunks of hand-overs and gives each one to the table
// when it is complete. It is safe for concurrent use.
type Receiver struct {
	mu      sync.Mutex
	self    string
	table   *Table
	pending map[string]*partial
	done    map[string]bool
}

// partial is a hand-over of which some chunks have come.
type partial struct {
	chunks map[int]Chunk
	last   time.Time
}

// NewReceiver returns a receiver for the table of the given incarnation.
func NewReceiver(incarnation string, table *Table) *Receiver {
	return &Receiver{self: incarnation, table: table, pending: map[string]*partial{}, done: map[string]bool{}}
}

// Accept takes a chunk. It returns the whole hand-over when this chunk made
// it complete.
func (r *Receiver) Accept(c Chunk, now time.Time) (Receipt, *Handover, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.To != r.self {
		return Receipt{}, nil, ErrOtherIncarnation
	}
	if r.done[c.From] {
		return Receipt{Complete: true}, nil, nil
	}
	if err := r.collect(c, now); err != nil {
		return Receipt{}, nil, err
	}
	if len(r.pending[c.From].chunks) < c.Count {
		return Receipt{}, nil, nil
	}
	whole := join(r.pending[c.From].chunks)
	delete(r.pending, c.From)
	if err := r.table.Import(whole); err != nil {
		return Receipt{Refused: true}, nil, nil
	}
	r.done[c.From] = true
	return Receipt{Complete: true}, &whole, nil
}

// Purge forgets hand-overs that were not completed.
func (r *Receiver) Purge(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.pending, func(_ string, p *partial) bool { return now.Sub(p.last) > pendingTimeout })
}

func (r *Receiver) collect(c Chunk, now time.Time) error {
	if c.Count < 1 || c.Count > maxChunks || c.Index < 0 || c.Index >= c.Count {
		return fmt.Errorf("%d of %d: %w", c.Index, c.Count, ErrInvalidChunk)
	}
	held, ok := r.pending[c.From]
	if !ok {
		if len(r.pending) >= maxPending {
			return ErrTooManyHandovers
		}
		held = &partial{chunks: map[int]Chunk{}}
		r.pending[c.From] = held
	}
	for _, other := range held.chunks {
		if other.Count != c.Count {
			return fmt.Errorf("%d instead of %d chunks: %w", c.Count, other.Count, ErrInvalidChunk)
		}
	}
	held.chunks[c.Index], held.last = c, now
	return nil
}

func join(chunks map[int]Chunk) Handover {
	h := Handover{From: chunks[0].From, Owned: chunks[0].Owned}
	for i := range len(chunks) {
		h.Records = append(h.Records, chunks[i].Records...)
	}
	return h
}

// Transfer decides to whom a hand-over is sent. The first incarnation that
// it was sent to stays the only one, unless that one refuses it: an answer
// that did not come may have been a receipt.
type Transfer struct {
	handover     Handover
	chunkRecords int
	chosen       string
	refused      map[string]bool
	complete     bool
}

// NewTransfer returns a transfer of a frozen table.
func NewTransfer(h Handover) *Transfer {
	return &Transfer{handover: h, chunkRecords: maxChunkRecords, refused: map[string]bool{}}
}

// Handover returns what is handed over.
func (t *Transfer) Handover() Handover { return t.handover }

// Refused reports whether an incarnation has refused the hand-over.
func (t *Transfer) Refused(incarnation string) bool { return t.refused[incarnation] }

// Successor returns the incarnation that the hand-over is sent to, if any.
func (t *Transfer) Successor() (string, bool) { return t.chosen, t.chosen != "" }

// ChooseSuccessor makes an incarnation the successor, unless there is one, and
// returns the chunks for the successor.
func (t *Transfer) ChooseSuccessor(incarnation string) []Chunk {
	if t.chosen == "" {
		t.chosen = incarnation
	}
	return t.handover.Split(t.chosen, t.chunkRecords)
}

// RecordReceipt records a receipt of an incarnation.
func (t *Transfer) RecordReceipt(from string, r Receipt) {
	if from != t.chosen || t.complete {
		return
	}
	t.complete = r.Complete
	if r.Refused {
		t.refused[from] = true
		t.chosen = ""
	}
}

// Complete reports whether the successor owns the keys.
func (t *Transfer) Complete() bool { return t.complete }
