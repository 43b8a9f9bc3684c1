package wire

import (
	"time"

	"bilberrytiller.example/tiller/coordination/objects"
)

// TypeObjects asks a daemon for what it knows of the store's objects.
const TypeObjects Type = "objects"

// ObjectsCall asks for the changes of several kinds of objects. The reply is
// sent when there is a change, when the replying daemon's copy was confirmed well
// after the caller's, or after Wait.
type ObjectsCall struct {
	Kinds []KindCall    `cbor:"k"`
	Wait  time.Duration `cbor:"w"`
	// AcceptsPacked says that the calling daemon can read packed specs.
	AcceptsPacked bool `cbor:"p,omitempty"`
	// Failures are the failures of backend servers seen by the calling daemon
	// and by the daemons that call it.
	Failures []ServerFailures `cbor:"f,omitempty"`
	// Loads are the latest loads of backend servers seen by the calling daemon and by
	// the daemons that call it, as package feed encodes them.
	Loads []byte `cbor:"l,omitempty"`
	// Hosts asks a daemon of the same data centre for the statuses of its large entry
	// hosts, and contains those that the calling daemon knows.
	Hosts *HostExchange `cbor:"h,omitempty"`
}

// HostExchange contains the statuses of large entry hosts of a data centre.
type HostExchange struct {
	Hosts []HostStatus `cbor:"h,omitempty"`
}

// HostStatus is the status of an entry host.
type HostStatus struct {
	ID       string `cbor:"i"`
	NotReady bool   `cbor:"n,omitempty"`
	// LinkPercent is the part of the host's network link that is in use.
	LinkPercent uint16 `cbor:"u,omitempty"`
	// Stamp is the host's own time of day in nanoseconds since 1970.
	Stamp int64 `cbor:"s"`
	// AgeMs is the time since the host was in this state, in milliseconds.
	AgeMs uint32 `cbor:"a,omitempty"`
}

// ServerFailures counts the failed answers among the latest answers of a
// backend server.
type ServerFailures struct {
	ID     string  `cbor:"i"`
	Failed float64 `cbor:"f"`
	Total  float64 `cbor:"t"`
}

// KindCall asks for the changes of a kind after a revision, or for all objects
// of the kind.
type KindCall struct {
	Kind     string `cbor:"k"`
	Revision int64  `cbor:"r"`
	// Era is the store's era of Revision. HasEra is set by daemons that know eras. The
	// revision of another one is taken as one of the replying daemon's era.
	Era    int64 `cbor:"e,omitempty"`
	HasEra bool  `cbor:"h,omitempty"`
	// HasRevision says that the calling daemon knows the kind up to Revision.
	HasRevision bool `cbor:"n,omitempty"`
	// Age is the time since the calling daemon's copy was last confirmed to match
	// the store.
	Age time.Duration `cbor:"a,omitempty"`
}

// ObjectsReply is the reply to an ObjectsCall.
type ObjectsReply struct {
	Kinds []KindReply `cbor:"k"`
	// Waited is the time from the arrival of the call to the making of the reply.
	Waited time.Duration `cbor:"w,omitempty"`
	// Failures are the failures of backend servers seen by all daemons of the
	// region.
	Failures []ServerFailures `cbor:"f,omitempty"`
	// Loads are the latest loads of backend servers seen by the daemons of the region.
	Loads []byte `cbor:"l,omitempty"`
	// Hosts replies to the call's Hosts.
	Hosts *HostExchange `cbor:"h,omitempty"`
}

// PackedSpec is the spec of an object, compressed with DEFLATE.
type PackedSpec struct {
	// Index is that of the object in Objects or in Events, whichever the reply has.
	Index    int    `cbor:"i"`
	Deflated []byte `cbor:"d"`
}

// KindReply contains the changes of a kind.
type KindReply struct {
	Kind string `cbor:"k"`
	// Unknown says that the replying daemon does not know the kind either.
	Unknown bool `cbor:"u,omitempty"`
	// Full says that Objects contains all objects of the kind. Otherwise Events
	// contains the changes.
	Full    bool             `cbor:"f,omitempty"`
	Objects []objects.Object `cbor:"o,omitempty"`
	Events  []objects.Event  `cbor:"e,omitempty"`
	// Packed holds the specs that Objects and Events lack.
	Packed   []PackedSpec `cbor:"p,omitempty"`
	Revision int64        `cbor:"r"`
	// Era is the store's era of Revision. If it is lower than that of the call, the
	// replying daemon has nothing to tell.
	Era int64 `cbor:"j,omitempty"`
	// Age is the time since the copy was last confirmed to match the store.
	Age time.Duration `cbor:"a"`
	// Unconfirmed says that the replying daemon has no relay, and that its last
	// call to the store failed.
	Unconfirmed bool `cbor:"n,omitempty"`
}
