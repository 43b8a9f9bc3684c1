package capacity

import (
	"fmt"
	"net/netip"

	"bilberrytiller.example/tiller/state/catalogue"
)

// blocksPerEntry is the number of client blocks in one catalogue entry.
const blocksPerEntry = 64

func dataCentreName(i int) string { return fmt.Sprintf("site-%d", i) }

// blocksEntry returns the n-th entry of client blocks. rotation rotates the
// data centres that each block lists, so that entries with different rotations
// differ in every block.
func blocksEntry(n, rotation int) *catalogue.Blocks {
	e := &catalogue.Blocks{Meta: catalogue.Meta{
		Schema: catalogue.SchemaVersion, Kind: catalogue.KindBlocks, Name: fmt.Sprintf("blocks-%d", n), Owner: "capacity",
	}}
	for i := n * blocksPerEntry; i < (n+1)*blocksPerEntry; i++ {
		addr := netip.AddrFrom4([4]byte{byte(10 + i>>16), byte(i >> 8), byte(i), 0})
		e.Blocks = append(e.Blocks, catalogue.Block{Prefix: netip.PrefixFrom(addr, 24), Sites: sitesOf(i + rotation)})
	}
	return e
}

func sitesOf(i int) []string {
	return []string{dataCentreName(i % dataCentres), dataCentreName((i + 1) % dataCentres), dataCentreName((i + 2) % dataCentres)}
}
