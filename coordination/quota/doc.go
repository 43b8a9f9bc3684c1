// Package quota divides the quotas of organisations among all daemons without a
// coordinator.
//
// Each daemon owns an equal part of every quota. It hands its part to a parent for a
// short time, and the parent hands on what it holds, so that in calm times a few daemons
// hold all parts. Only the holder of parts issues units, at the rate of the parts. A
// daemon takes one unit for each request that it admits, and asks its parent, or other
// holders, for units by its demand. A unit that is not used ends soon after it was
// issued and never returns to the issuer, so that no daemon has to keep account of
// the units of others, and a daemon that is lost takes nothing with it but its units.
//
// A part is used by one holder at a time, whatever the daemons believe of each other:
// it counts for both from the moment of the call, for which the owner tells the parent its
// own time: that in the reply before, and what has passed since.
package quota
