package soak

import (
	"errors"
	"net/netip"

	"bilberrytiller.example/standin/relay"
)

// SetStorePath sets how the connections of a gateway to the store are treated.
func (c *Cluster) SetStorePath(n int, mode relay.Mode) {
	c.gateways[n].storePath.SetMode(netip.MustParseAddr("127.0.0.1"), mode)
}

// RemoveServer removes the entry of a backend server, which goes on serving. It does not
// write its entry again.
func (c *Cluster) RemoveServer(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.origins, id)
	c.Store.Delete("servers", id)
}

// Rewrite has the operator and the backend servers write again what the store, restored
// from a copy, may have lost.
func (c *Cluster) Rewrite() error {
	c.mu.Lock()
	version := c.version
	var errs []error
	for id, o := range c.origins {
		errs = append(errs, c.Store.Put("servers", id, o.entry))
	}
	for _, id := range c.Store.Names("servers") {
		if _, known := c.origins[id]; !known {
			c.Store.Delete("servers", id)
		}
	}
	c.mu.Unlock()
	return errors.Join(append(errs, c.Configure(version))...)
}
