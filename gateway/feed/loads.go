package feed

import (
	"encoding/binary"
	"time"

	"bilberrytiller.example/tiller/coordination/upstream"
)

const (
	// loadBytes is the size of an encoded load: four bytes of the server's ID, the
	// number of requests, and the age in units of loadAgeUnit.
	loadBytes   = 6
	loadAgeUnit = 8 * time.Millisecond
	// maxLoadValue is the largest number of requests and of units of age that is
	// told.
	maxLoadValue = 255
)

// LoadHooks connect the exchange of the backend servers' loads to the daemon's own
// view.
type LoadHooks struct {
	// Known returns the latest loads: those of this daemon and of the daemons that
	// call it, and with all set also those that its relay told.
	Known func(all bool, now time.Time) []upstream.SharedLoad
	// Observe applies the loads told by the daemon's relay, or by a daemon that calls
	// this one.
	Observe func(loads []upstream.SharedLoad, fromRelay bool, now time.Time)
}

// SetLoadHooks sets the hooks for the loads of servers. It must be called before Run
// and Serve.
func (r *Replica) SetLoadHooks(h LoadHooks) { r.loads = h }

// knownLoads returns the encoded loads for a call, or for a reply if all is set.
func (r *Replica) knownLoads(all bool, now time.Time) []byte {
	if r.loads.Known == nil {
		return nil
	}
	var encoded []byte
	for _, load := range r.loads.Known(all, now) {
		encoded = binary.BigEndian.AppendUint32(encoded, load.Server)
		age := now.Sub(load.At) / loadAgeUnit
		encoded = append(encoded, byte(min(maxLoadValue, max(0, load.Requests))), byte(min(maxLoadValue, max(0, age))))
	}
	return encoded
}

// observeLoads applies the encoded loads of a call or reply. An incomplete load at
// the end is left out.
func (r *Replica) observeLoads(encoded []byte, fromRelay bool, received time.Time) {
	if r.loads.Observe == nil || len(encoded) < loadBytes {
		return
	}
	var loads []upstream.SharedLoad
	for ; len(encoded) >= loadBytes; encoded = encoded[loadBytes:] {
		loads = append(loads, upstream.SharedLoad{
			Server: binary.BigEndian.Uint32(encoded), Requests: int(encoded[4]),
			At: received.Add(-time.Duration(encoded[5]) * loadAgeUnit),
		})
	}
	r.loads.Observe(loads, fromRelay, received)
}
