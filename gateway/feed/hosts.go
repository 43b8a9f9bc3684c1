package feed

import (
	"time"

	"bilberrytiller.example/tiller/coordination/entry"
	"bilberrytiller.example/tiller/protocol/wire"
)

// HostHooks connect the exchange of the large hosts' statuses to the daemon's directory.
type HostHooks struct {
	// Known returns the statuses to pass on, and whether the data centre has large hosts
	// at all. Without them, nothing is exchanged.
	Known func(now time.Time) (all []entry.Status, tiered bool)
	// Observe applies the statuses that another daemon of the data centre knows.
	Observe func(all []entry.Status)
}

// SetHostHooks sets the hooks for the statuses of hosts. It must be called before Run
// and Serve.
func (r *Replica) SetHostHooks(h HostHooks) { r.hosts = h }

// hostExchange returns the statuses for a call to the daemon at address, or nil if it
// is in another data centre or the daemon's own has no large hosts.
func (r *Replica) hostExchange(address string) *wire.HostExchange {
	if r.hosts.Known == nil || !r.isInOwnZone(address) {
		return nil
	}
	now := time.Now()
	all, tiered := r.hosts.Known(now)
	if !tiered {
		return nil
	}
	return encodeHosts(all, now)
}

// hostsFor returns the statuses for the reply to a call.
func (r *Replica) hostsFor(call *wire.ObjectsCall) *wire.HostExchange {
	if call.Hosts == nil || r.hosts.Known == nil {
		return nil
	}
	now := time.Now()
	all, _ := r.hosts.Known(now)
	return encodeHosts(all, now)
}

func (r *Replica) observeHosts(x *wire.HostExchange, received time.Time) {
	if x == nil || r.hosts.Observe == nil {
		return
	}
	all := make([]entry.Status, 0, len(x.Hosts))
	for _, h := range x.Hosts[:min(len(x.Hosts), entry.MaxHosts)] {
		all = append(all, entry.Status{
			ID: h.ID, Ready: !h.NotReady, LinkUse: float64(h.LinkPercent) / 100, Stamp: h.Stamp,
			At: received.Add(-time.Duration(h.AgeMs) * time.Millisecond),
		})
	}
	r.hosts.Observe(all)
}

func (r *Replica) isInOwnZone(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.members {
		if m.Address == address {
			return m.Zone == r.settings.Self.Zone
		}
	}
	return false
}

func encodeHosts(all []entry.Status, now time.Time) *wire.HostExchange {
	x := &wire.HostExchange{}
	for _, st := range all {
		x.Hosts = append(x.Hosts, wire.HostStatus{
			ID: st.ID, NotReady: !st.Ready, LinkPercent: uint16(min(1000, 100*st.LinkUse)), Stamp: st.Stamp,
			AgeMs: uint32(max(0, now.Sub(st.At).Milliseconds())),
		})
	}
	return x
}
