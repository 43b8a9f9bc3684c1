// Package layers checks the imports between the layers of the module: transport,
// protocol, coordination and state, from the outermost to the innermost. A layer
// may import only itself, the layers inside it and internal packages.
package layers
