// Package connlimit decides how many connections of clients a daemon holds, and which one
// is closed when another needs its place.
//
// Closing a connection must not lose a request that may run. So only connections that
// wait for a request, or for the rest of one, may be closed: first the one that has been
// idle for longest, then the one that has sent no complete head for longest, then the one
// whose body has stood still for longest. Connections whose request is being served stay.
package connlimit

import "time"

// Phase is what a connection waits for.
type Phase int

// The phases of a connection.
const (
	// Idle means that the last request was answered and nothing of the next has come.
	Idle Phase = iota
	// Head means that the head of a request has not come completely. A connection that
	// has carried no request yet is in this phase.
	Head
	// Body means that the body of a request has not come completely.
	Body
	// Serving means that a request has come completely and is not answered yet.
	Serving
)

// minAges are how long a connection must have been in its phase, for Body without
// progress, before it may be closed for another one.
var minAges = [...]time.Duration{Idle: 0, Head: time.Second, Body: time.Second}

// Conn is a connection.
type Conn struct {
	Phase Phase
	// Since is the start of the phase, for Body the time of the latest bytes.
	Since time.Time
}

// MayClose reports whether a connection may be closed for another one.
func (c Conn) MayClose(now time.Time) bool {
	return c.Phase < Serving && now.Sub(c.Since) >= minAges[c.Phase]
}

// Before reports whether c is closed before another connection.
func (c Conn) Before(other Conn) bool {
	if c.Phase != other.Phase {
		return c.Phase < other.Phase
	}
	return c.Since.Before(other.Since)
}

const (
	// fileDescriptors are reserved for files.
	fileDescriptors = 200
	// clientShare and serverShare are the fractions of the sockets for clients, those of
	// the directory included, and for backend servers. internalShare is that of each other
	// listener. The rest is for other daemons, the store, and connections that are being
	// accepted or closed.
	clientShare, serverShare, internalShare = 0.66, 0.25, 0.02
	// MinDescriptors is the smallest number of descriptors with which a daemon can work.
	MinDescriptors = fileDescriptors + 50
	// ConnBytes is the memory of a connection with its buffers and goroutines.
	ConnBytes = 24 << 10
	// memoryShare is the fraction of the memory that connections of clients may use.
	memoryShare = 0.5
)

// Limits are the numbers of connections that a daemon may hold. Zero means no limit.
type Limits struct {
	Clients, Servers int
	// Internal is the limit of each listener for other daemons or the operator.
	Internal int
}

// New returns the limits for a number of descriptors, and for a memory in bytes of which
// the connections of clients may use a part. Zero or less means unknown.
func New(descriptors int, memoryBytes int64) Limits {
	var l Limits
	if descriptors > 0 {
		sockets := float64(max(descriptors, MinDescriptors) - fileDescriptors)
		l.Clients = int(clientShare * sockets)
		l.Servers = int(serverShare * sockets)
		l.Internal = int(internalShare * sockets)
	}
	if memoryBytes > 0 {
		inMemory := int(memoryShare * float64(memoryBytes) / ConnBytes)
		if l.Clients == 0 || inMemory < l.Clients {
			l.Clients = max(1, inMemory)
		}
	}
	return l
}
