package daemon

import "bilberrytiller.example/tiller/coordination/duty"

const (
	// relaysPerRegion is the number of daemons per region that read from the
	// platform on behalf of the fleet.
	relaysPerRegion = 2
	// relayDuty is the duty of reading from the platform on behalf of the
	// fleet, which relaysPerRegion daemons of each region hold.
	relayDuty = "relay"
)

// isRelay reports whether this daemon reads from the platform on behalf of the
// fleet.
func (d *Daemon) isRelay() bool {
	return duty.IsAmongHolders(d.view.Load(), d.self.ID, relayDuty, d.self.Region, relaysPerRegion)
}

// readsPlatform reports whether this daemon reads from the platform: because
// it is a relay, or because no neighbour can send it what a relay has read.
func (d *Daemon) readsPlatform() bool { return !d.joined() || d.isRelay() }
