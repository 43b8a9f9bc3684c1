// Package link schedules the traffic over the link between two regions when it
// exceeds the link's capacity.
//
// The caller decides how many bytes may be sent. The scheduler gives them to
// the most urgent rank that has messages queued, after the minimum share of
// each rank, and within a rank to the message that has been queued longest.
package link

import (
	"slices"
	"time"

	"bilberrytiller.example/tiller/state/request"
)

const (
	// Window is the period over which sent bytes are counted.
	Window = time.Second
	// MinShare is the fraction of the bytes that each rank is guaranteed while
	// it has messages queued.
	MinShare = 0.1
	// DataFraction is the fraction of a link's cap that requests and answers
	// may use. The rest is for control traffic and network headers.
	DataFraction = 0.85
	// BitsPerMbit and BitsPerByte convert a link's cap to bytes per second.
	BitsPerMbit = 1e6
	BitsPerByte = 8
)

// BytesPerWindow returns the bytes of requests and answers that a link with
// the given cap may carry in a window.
func BytesPerWindow(capMbit float64) int {
	return int(capMbit * BitsPerMbit / BitsPerByte * DataFraction)
}

// Message is a message to be sent over the link.
type Message struct {
	Rank  request.Rank
	Bytes int
	// Ready is closed when the message may be sent.
	Ready chan struct{}
}

// NewMessage returns a message of the given rank and size.
func NewMessage(rank request.Rank, bytes int) *Message {
	return &Message{Rank: rank, Bytes: bytes, Ready: make(chan struct{})}
}

// Scheduler orders the messages queued for one direction of a link. It is not
// safe for concurrent use.
type Scheduler struct {
	queues [request.RankCount][]*Message
	sent   [request.RankCount][]transmission
	// sentBytes holds the total size of each rank's transmissions in sent.
	sentBytes [request.RankCount]int
}

type transmission struct {
	at    time.Time
	bytes int
}

// Enqueue appends a message to the queue of its rank.
func (s *Scheduler) Enqueue(m *Message) { s.queues[m.Rank] = append(s.queues[m.Rank], m) }

// Remove removes a message and reports whether it was still queued.
func (s *Scheduler) Remove(m *Message) bool {
	i := slices.Index(s.queues[m.Rank], m)
	if i < 0 {
		return false
	}
	s.queues[m.Rank] = slices.Delete(s.queues[m.Rank], i, i+1)
	return true
}

// QueueLen returns the number of queued messages.
func (s *Scheduler) QueueLen() int {
	n := 0
	for _, q := range s.queues {
		n += len(q)
	}
	return n
}

// Next returns the next message to send, or nil if none is queued.
func (s *Scheduler) Next(now time.Time) *Message {
	s.expireSent(now)
	total := 0
	for _, bytes := range s.sentBytes {
		total += bytes
	}
	for rank, q := range s.queues {
		if len(q) > 0 && float64(s.sentBytes[rank]) < MinShare*float64(total) {
			return q[0]
		}
	}
	for _, q := range s.queues {
		if len(q) > 0 {
			return q[0]
		}
	}
	return nil
}

// Grant removes the message that Next returned from its queue, counts its
// bytes and signals that it may be sent.
func (s *Scheduler) Grant(m *Message, now time.Time) {
	s.queues[m.Rank] = s.queues[m.Rank][1:]
	s.sent[m.Rank] = append(s.sent[m.Rank], transmission{at: now, bytes: m.Bytes})
	s.sentBytes[m.Rank] += m.Bytes
	close(m.Ready)
}

// expireSent drops the transmissions that have left the window.
func (s *Scheduler) expireSent(now time.Time) {
	for rank, list := range s.sent {
		expired := 0
		for expired < len(list) && now.Sub(list[expired].at) >= Window {
			s.sentBytes[rank] -= list[expired].bytes
			expired++
		}
		s.sent[rank] = list[expired:]
	}
}
