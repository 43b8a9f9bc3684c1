// Package link decides in which order traffic crosses the link between two
// regions when it does not all fit.
//
// The bytes that may cross come from elsewhere. The gate gives them to the
// most urgent rank that waits, but for what is guaranteed to each rank, and
// within a rank to the one that waits longest.
package link

import (
	"slices"
	"time"

	"bilberrytiller.example/tiller/state/request"
)

const (
	// Window is the time over which bytes are counted.
	Window = time.Second
	// MinShare is the fraction of the bytes that each rank gets while it has
	// traffic that waits.
	MinShare = 0.1
	// DataFraction is the part of a link's cap that requests and answers may
	// use. The rest is for control traffic and for headers of the network.
	DataFraction = 0.85
	// BitsPerMbit and BitsPerByte convert a link's cap.
	BitsPerMbit = 1e6
	BitsPerByte = 8
)

// BytesPerWindow returns the bytes of requests and answers that may cross in a
// window.
func BytesPerWindow(capMbit float64) int {
	return int(capMbit * BitsPerMbit / BitsPerByte * DataFraction)
}

// Message is a message that waits to cross.
type Message struct {
	Rank  request.Rank
	Bytes int
	// Ready is closed when the message may be sent.
	Ready chan struct{}
}

// NewMessage returns a waiter for a message.
func NewMessage(rank request.Rank, bytes int) *Message {
	return &Message{Rank: rank, Bytes: bytes, Ready: make(chan struct{})}
}

// Scheduler orders the messages that wait to cross in one direction. It is not
// safe for concurrent use.
type Scheduler struct {
	queues [request.RankCount][]*Message
	sent   [request.RankCount][]sent
	// bytes are the sums of sent.
	bytes [request.RankCount]int
}

type sent struct {
	at    time.Time
	bytes int
}

// Enqueue adds a message to those that wait.
func (g *Scheduler) Enqueue(w *Message) { g.queues[w.Rank] = append(g.queues[w.Rank], w) }

// Remove takes a message back and reports whether it still waited.
func (g *Scheduler) Remove(w *Message) bool {
	i := slices.Index(g.queues[w.Rank], w)
	if i < 0 {
		return false
	}
	g.queues[w.Rank] = slices.Delete(g.queues[w.Rank], i, i+1)
	return true
}

// QueueLen returns the number of messages that wait.
func (g *Scheduler) QueueLen() int {
	n := 0
	for _, q := range g.queues {
		n += len(q)
	}
	return n
}

// Next returns the message that is to cross first, or nil.
func (g *Scheduler) Next(now time.Time) *Message {
	g.forget(now)
	total := 0
	for _, bytes := range g.bytes {
		total += bytes
	}
	for rank, q := range g.queues {
		if len(q) > 0 && float64(g.bytes[rank]) < MinShare*float64(total) {
			return q[0]
		}
	}
	for _, q := range g.queues {
		if len(q) > 0 {
			return q[0]
		}
	}
	return nil
}

// Grant takes the message that Next returned out and lets it cross.
func (g *Scheduler) Grant(w *Message, now time.Time) {
	g.queues[w.Rank] = g.queues[w.Rank][1:]
	g.sent[w.Rank] = append(g.sent[w.Rank], sent{at: now, bytes: w.Bytes})
	g.bytes[w.Rank] += w.Bytes
	close(w.Ready)
}

// forget drops what was sent before the window.
func (g *Scheduler) forget(now time.Time) {
	for rank, list := range g.sent {
		old := 0
		for old < len(list) && now.Sub(list[old].at) >= Window {
			g.bytes[rank] -= list[old].bytes
			old++
		}
		g.sent[rank] = list[old:]
	}
}
