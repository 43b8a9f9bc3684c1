package routing

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"
)

// ErrSharedKey means that two organisations have the same key.
var ErrSharedKey = errors.New("two organisations have the same key")

// Organisation is a customer of the operator. Its requests carry one of its keys.
type Organisation struct {
	Name string
	// Priority is the rank of its requests in place of the route's, or nil. 0 is the
	// most urgent.
	Priority *int
	// RatePerSecond and Burst are its quota over all daemons: RatePerSecond requests
	// per second, and Burst in addition. A rate of 0 means that there is no quota.
	RatePerSecond, Burst float64
	// Regions lists the regions that may serve its requests. If it is empty, all may.
	Regions []string
}

// AllowsRegion reports whether a region may serve the organisation's requests.
// A request without an organisation may be served in all.
func (o *Organisation) AllowsRegion(region string) bool {
	return o == nil || len(o.Regions) == 0 || slices.Contains(o.Regions, region)
}

// keyDigest identifies a key. Keys themselves are not kept, so that a comparison
// takes the same time for all of them.
type keyDigest [16]byte

func digestOf(key string) keyDigest {
	sum := sha256.Sum256([]byte(key))
	return keyDigest(sum[:len(keyDigest{})])
}

// SetOrganisations sets the organisations of a configuration that is not in use yet,
// and the keys of each by its name. The error wraps ErrSharedKey.
func (c *Configuration) SetOrganisations(all []Organisation, keys map[string][]string) error {
	c.organisations = make(map[string]*Organisation, len(all))
	c.byKey = make(map[keyDigest]*Organisation, len(all))
	for i := range all {
		o := &all[i]
		c.organisations[o.Name] = o
		for _, key := range keys[o.Name] {
			digest := digestOf(key)
			if other := c.byKey[digest]; other != nil && other != o {
				return fmt.Errorf("%w: %s and %s", ErrSharedKey, other.Name, o.Name)
			}
			c.byKey[digest] = o
		}
	}
	return nil
}

// HasOrganisations reports whether requests carry keys of organisations. It stays true
// when the last organisation is removed, so that its keys are denied from then on.
func (c *Configuration) HasOrganisations() bool { return c.organisations != nil }

// Organisation returns the organisation with the given name, or nil.
func (c *Configuration) Organisation(name string) *Organisation { return c.organisations[name] }

// Organisations returns all organisations by name. Callers must not modify the map.
func (c *Configuration) Organisations() map[string]*Organisation { return c.organisations }

// OrganisationByKey returns the organisation that holds a key, or nil.
func (c *Configuration) OrganisationByKey(key string) *Organisation {
	if key == "" {
		return nil
	}
	return c.byKey[digestOf(key)]
}

// Rank returns the rank of an organisation's requests on a route; 0 is the most
// urgent. The organisation may be nil.
func (r *Route) Rank(o *Organisation) int {
	if o != nil && o.Priority != nil {
		return *o.Priority
	}
	return r.Priority
}
