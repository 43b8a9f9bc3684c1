package wire

import (
	"time"

	"bilberrytiller.example/tiller/coordination/objects"
)

// TypeObjects asks a daemon what it knows of the store's objects.
const TypeObjects Type = "objects"

// ObjectsCall asks for what is new of several kinds. It is answered when
// there is something new, or after Wait.
type ObjectsCall struct {
	Kinds []KindCall    `cbor:"k"`
	Wait  time.Duration `cbor:"w"`
	// Failures are what the asking daemon and those that ask it saw of servers.
	Failures []ServerFailures `cbor:"f,omitempty"`
}

// ServerFailures is how many of a backend server's latest answers failed, and of
// how many.
type ServerFailures struct {
	ID     string  `cbor:"i"`
	Failed float64 `cbor:"f"`
	Total  float64 `cbor:"t"`
}

// KindCall asks for the changes of a kind after a revision, or for all its
// objects.
type KindCall struct {
	Kind     string `cbor:"k"`
	Revision int64  `cbor:"r"`
	// HasRevision says that the asking daemon knows the kind up to Revision.
	HasRevision bool `cbor:"n,omitempty"`
}

// ObjectsReply answers an ObjectsCall, kind by kind.
type ObjectsReply struct {
	Kinds []KindReply `cbor:"k"`
	// Failures are what all daemons of the region saw of servers.
	Failures []ServerFailures `cbor:"f,omitempty"`
}

// KindReply is what is new of a kind.
type KindReply struct {
	Kind string `cbor:"k"`
	// Unknown says that the answering daemon does not know the kind either.
	Unknown bool `cbor:"u,omitempty"`
	// Full says that Objects are all objects of the kind. Otherwise Events are
	// its changes.
	Full     bool             `cbor:"f,omitempty"`
	Objects  []objects.Object `cbor:"o,omitempty"`
	Events   []objects.Event  `cbor:"e,omitempty"`
	Revision int64            `cbor:"r"`
	Age      time.Duration    `cbor:"a"`
}
