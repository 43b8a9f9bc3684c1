package membership

import "github.com/cespare/xxhash/v2"

// Digest is equal for views with the same usable members in the same
// incarnations, whoever's views they are.
func (v *View) Digest() uint64 {
	var digest uint64
	for _, m := range v.members {
		if m.Usable() {
			digest ^= xxhash.Sum64String(m.ID + "\x00" + m.Incarnation)
		}
	}
	return digest
}
