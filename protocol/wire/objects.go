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
	// Faults are what the asking daemon and those that ask it saw of servers.
	Faults []ServerFault `cbor:"f,omitempty"`
}

// ServerFault is how many of a backend server's latest answers failed, and of
// how many.
type ServerFault struct {
	ID     string  `cbor:"i"`
	Failed float64 `cbor:"f"`
	Total  float64 `cbor:"t"`
}

// KindCall asks for the changes of a kind after a revision, or for all its
// objects.
type KindCall struct {
	Kind     string `cbor:"k"`
	Revision int64  `cbor:"r"`
	// Known says that the asking daemon knows the kind up to Revision.
	Known bool `cbor:"n,omitempty"`
}

// ObjectsAnswer answers an ObjectsCall, kind by kind.
type ObjectsAnswer struct {
	Kinds []KindAnswer `cbor:"k"`
	// Faults are what all daemons of the region saw of servers.
	Faults []ServerFault `cbor:"f,omitempty"`
}

// KindAnswer is what is new of a kind.
type KindAnswer struct {
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
