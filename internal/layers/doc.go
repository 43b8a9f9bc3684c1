// Package layers checks that the module's layers import one way: transport,
// protocol, coordination, state, each only those behind it.
package layers
