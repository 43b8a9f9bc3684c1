package capacity

import (
	"fmt"
	"net/netip"

	"bilberrytiller.example/tiller/state/catalogue"
)

// blocksPerEntry is how many blocks one catalogue entry holds.
const blocksPerEntry = 64

func siteName(i int) string { return fmt.Sprintf("site-%d", i) }

// blocksEntry returns the n-th entry of blocks. Shift turns the order of the
// sites, so that another shift is a change of every block.
func blocksEntry(n, shift int) *catalogue.Blocks {
	e := &catalogue.Blocks{Meta: catalogue.Meta{
		Schema: catalogue.SchemaVersion, Kind: catalogue.KindBlocks, Name: fmt.Sprintf("blocks-%d", n), Owner: "capacity",
	}}
	for i := n * blocksPerEntry; i < (n+1)*blocksPerEntry; i++ {
		addr := netip.AddrFrom4([4]byte{byte(10 + i>>16), byte(i >> 8), byte(i), 0})
		e.Blocks = append(e.Blocks, catalogue.Block{Prefix: netip.PrefixFrom(addr, 24), Sites: sitesOf(i + shift)})
	}
	return e
}

func sitesOf(i int) []string {
	return []string{siteName(i % dataCentres), siteName((i + 1) % dataCentres), siteName((i + 2) % dataCentres)}
}
