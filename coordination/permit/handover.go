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
	// MaxChunkBytes is the approximate size of the answers in one chunk. A
	// chunk is closed once its answers reach this size.
	MaxChunkBytes = 1 << 20
	// maxChunkRecords is the maximum number of records in one chunk.
	maxChunkRecords = 4096
	// maxChunks is the maximum number of chunks in one handover.
	maxChunks = 1 << 12
	// maxPending is the maximum number of incomplete handovers that a receiver
	// keeps.
	maxPending = 32
	// pendingTimeout is how long an incomplete handover is kept after its last
	// chunk. A sender that is still running sends all its chunks again.
	pendingTimeout = time.Minute
)

// Errors returned by Receiver.Accept.
var (
	// ErrOtherIncarnation means that a message is addressed to another
	// incarnation.
	ErrOtherIncarnation = errors.New("message is addressed to another incarnation")
	// ErrInvalidChunk means that a chunk is inconsistent in itself or with an
	// earlier chunk of its handover.
	ErrInvalidChunk = errors.New("chunk is inconsistent with its handover")
	// ErrTooManyHandovers means that the receiver already keeps the maximum
	// number of incomplete handovers.
	ErrTooManyHandovers = errors.New("too many incomplete handovers")
)

// Record is the state of one key in a handover.
type Record struct {
	Nonce   string            `cbor:"n"`
	Digest  [sha256.Size]byte `cbor:"d"`
	Expires time.Time         `cbor:"x"`
	// Answer is the recorded answer. If the run had not ended, its outcome is
	// unknown.
	Answer request.Answer `cbor:"a"`
}

// OwnedIncarnation is an incarnation whose keys a table owns.
type OwnedIncarnation struct {
	Incarnation string `cbor:"i"`
	// Expires is the expiry of the incarnation's last key.
	Expires time.Time `cbor:"x"`
}

// Handover is the content of a table that is transferred to the single
// successor of its incarnation.
type Handover struct {
	From    string
	Owned   []OwnedIncarnation
	Records []Record
}

// Expires returns the expiry of the last key in the handover.
func (h Handover) Expires() time.Time {
	var last time.Time
	for _, o := range h.Owned {
		if o.Expires.After(last) {
			last = o.Expires
		}
	}
	return last
}

// Chunk is one part of a handover. Chunks may arrive in any order and more
// than once.
type Chunk struct {
	From    string             `cbor:"f"`
	To      string             `cbor:"t"`
	Index   int                `cbor:"i"`
	Count   int                `cbor:"c"`
	Owned   []OwnedIncarnation `cbor:"o,omitempty"`
	Records []Record           `cbor:"r,omitempty"`
}

// Receipt is the receiver's reply to a chunk.
type Receipt struct {
	// Complete is set when the receiver has the whole handover and owns the
	// keys.
	Complete bool `cbor:"c,omitempty"`
	// Refused is set when the receiver does not own the keys and will not
	// accept them later.
	Refused bool `cbor:"r,omitempty"`
}

// Export returns the content of a frozen table. lastIssued is the latest
// expiry that a key issued for this incarnation can have.
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
	if !e.finished {
		r.Answer = request.UnknownAnswer(request.ReasonStopping, "run had not ended when its key was handed over")
		return r
	}
	r.Answer = e.run.answer
	return r
}

// Import adds the keys of a handover to the table. It ignores the table's
// limit of keys, because a request whose key is forgotten could run again.
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
		e := &entry{nonce: r.Nonce, digest: r.Digest, expires: r.Expires, finished: true, run: finishedRun(r.Answer)}
		t.add(e)
		t.keepAnswer(e)
	}
	return nil
}

// Split divides a handover into chunks for the given successor. Each chunk has
// at most maxRecords records.
func (h Handover) Split(to string, maxRecords int) []Chunk {
	var parts [][]Record
	answerBytes := 0
	for _, r := range h.Records {
		last := len(parts) - 1
		if last < 0 || answerBytes >= MaxChunkBytes || len(parts[last]) >= maxRecords {
			parts = append(parts, nil)
			answerBytes, last = 0, last+1
		}
		parts[last] = append(parts[last], r)
		answerBytes += answerSize(r.Answer)
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

// Receiver collects the chunks of handovers and imports each complete handover
// into the table. It is safe for concurrent use.
type Receiver struct {
	mu    sync.Mutex
	self  string
	table *Table
	// pending holds the incomplete handovers by the incarnation that sends them.
	pending map[string]*partialHandover
	// completed holds the incarnations whose handover was imported.
	completed map[string]bool
}

// partialHandover is a handover of which some chunks have arrived.
type partialHandover struct {
	chunks    map[int]Chunk
	lastChunk time.Time
}

// NewReceiver returns a receiver that imports into the table of the given
// incarnation.
func NewReceiver(incarnation string, table *Table) *Receiver {
	return &Receiver{self: incarnation, table: table, pending: map[string]*partialHandover{}, completed: map[string]bool{}}
}

// Accept stores a chunk. It returns the handover if this chunk completed it.
func (r *Receiver) Accept(c Chunk, now time.Time) (Receipt, *Handover, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.To != r.self {
		return Receipt{}, nil, ErrOtherIncarnation
	}
	if r.completed[c.From] {
		return Receipt{Complete: true}, nil, nil
	}
	if err := r.addChunk(c, now); err != nil {
		return Receipt{}, nil, err
	}
	if len(r.pending[c.From].chunks) < c.Count {
		return Receipt{}, nil, nil
	}
	handover := joinChunks(r.pending[c.From].chunks)
	delete(r.pending, c.From)
	if err := r.table.Import(handover); err != nil {
		return Receipt{Refused: true}, nil, nil
	}
	r.completed[c.From] = true
	return Receipt{Complete: true}, &handover, nil
}

// Purge removes incomplete handovers that have received no chunk for
// pendingTimeout.
func (r *Receiver) Purge(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.pending, func(_ string, p *partialHandover) bool { return now.Sub(p.lastChunk) > pendingTimeout })
}

func (r *Receiver) addChunk(c Chunk, now time.Time) error {
	if c.Count < 1 || c.Count > maxChunks || c.Index < 0 || c.Index >= c.Count {
		return fmt.Errorf("index %d of %d chunks: %w", c.Index, c.Count, ErrInvalidChunk)
	}
	partial, ok := r.pending[c.From]
	if !ok {
		if len(r.pending) >= maxPending {
			return ErrTooManyHandovers
		}
		partial = &partialHandover{chunks: map[int]Chunk{}}
		r.pending[c.From] = partial
	}
	for _, other := range partial.chunks {
		if other.Count != c.Count {
			return fmt.Errorf("chunk count %d, earlier %d: %w", c.Count, other.Count, ErrInvalidChunk)
		}
	}
	partial.chunks[c.Index], partial.lastChunk = c, now
	return nil
}

func joinChunks(chunks map[int]Chunk) Handover {
	h := Handover{From: chunks[0].From, Owned: chunks[0].Owned}
	for i := range len(chunks) {
		h.Records = append(h.Records, chunks[i].Records...)
	}
	return h
}

// Transfer chooses the successor that a handover is sent to. The first
// incarnation that it was sent to remains the successor unless it refuses: if
// its reply was lost, it may already own the keys.
type Transfer struct {
	handover     Handover
	chunkRecords int
	successor    string
	refused      map[string]bool
	complete     bool
}

// NewTransfer returns a transfer of the content of a frozen table.
func NewTransfer(h Handover) *Transfer {
	return &Transfer{handover: h, chunkRecords: maxChunkRecords, refused: map[string]bool{}}
}

// Handover returns the handover that is transferred.
func (t *Transfer) Handover() Handover { return t.handover }

// Refused reports whether an incarnation has refused the handover.
func (t *Transfer) Refused(incarnation string) bool { return t.refused[incarnation] }

// Successor returns the incarnation that the handover is sent to, if one was
// chosen.
func (t *Transfer) Successor() (string, bool) { return t.successor, t.successor != "" }

// ChooseSuccessor makes an incarnation the successor if none was chosen
// before. It returns the chunks to send to the successor.
func (t *Transfer) ChooseSuccessor(incarnation string) []Chunk {
	if t.successor == "" {
		t.successor = incarnation
	}
	return t.handover.Split(t.successor, t.chunkRecords)
}

// RecordReceipt records the reply of an incarnation.
func (t *Transfer) RecordReceipt(from string, r Receipt) {
	if from != t.successor || t.complete {
		return
	}
	t.complete = r.Complete
	if r.Refused {
		t.refused[from] = true
		t.successor = ""
	}
}

// Complete reports whether the successor owns the keys.
func (t *Transfer) Complete() bool { return t.complete }
