package catalogue

import (
	"maps"
	"net/netip"

	"bilberrytiller.example/tiller/state/blocks"
)

// blockMerge merges changed entries into a table of blocks. Only blocks that several
// entries have need the other entries, which take long to decode.
type blockMerge struct {
	builder *blocks.Builder
	shared  map[netip.Prefix]bool
	// contested are the changed blocks of which it is not known which entry is the latest
	// that has them.
	contested map[netip.Prefix]bool
}

// mergeBlocks returns the table of blocks and the shared blocks of the merged records, of
// which newer differ from the set's own.
func (s *Set) mergeBlocks(merged map[ID]Record, newer []Record) (*blocks.Table, map[netip.Prefix]bool) {
	m := blockMerge{builder: blocks.NewBuilder(s.blocks), shared: maps.Clone(s.sharedBlocks), contested: map[netip.Prefix]bool{}}
	done := map[ID]bool{}
	for _, r := range newer {
		if r.ID.Kind == KindBlocks && !done[r.ID] {
			done[r.ID] = true
			m.replace(blocksOf(s.records[r.ID]), blocksOf(merged[r.ID]))
		}
	}
	if len(m.contested) > 0 {
		m.settle(merged)
	}
	return m.builder.Table(), m.shared
}

func blocksOf(r Record) []Block {
	if entry, ok := r.Decoded().(*Blocks); ok {
		return entry.Blocks
	}
	return nil
}

// replace replaces the blocks of an entry.
func (m *blockMerge) replace(before, after []Block) {
	had := make(map[netip.Prefix]bool, len(before))
	for _, b := range before {
		had[b.Prefix] = true
	}
	for _, b := range after {
		if !had[b.Prefix] && m.builder.Has(b.Prefix) || m.shared[b.Prefix] {
			m.contested[b.Prefix] = true
		}
		delete(had, b.Prefix)
		m.builder.Insert(b.Prefix, b.Sites)
	}
	for prefix := range had {
		if m.shared[prefix] || m.contested[prefix] {
			m.contested[prefix] = true
			continue
		}
		m.builder.Delete(prefix)
	}
}

// settle gives each contested block the sites of the latest entry that has it.
func (m *blockMerge) settle(merged map[ID]Record) {
	type owner struct {
		version Version
		sites   []string
		entries int
	}
	owners := map[netip.Prefix]owner{}
	for id, r := range merged {
		if id.Kind != KindBlocks {
			continue
		}
		for _, b := range blocksOf(r) {
			if !m.contested[b.Prefix] {
				continue
			}
			o := owners[b.Prefix]
			o.entries++
			if r.Version > o.version {
				o.version, o.sites = r.Version, b.Sites
			}
			owners[b.Prefix] = o
		}
	}
	if m.shared == nil {
		m.shared = map[netip.Prefix]bool{}
	}
	for prefix := range m.contested {
		o, owned := owners[prefix]
		delete(m.shared, prefix)
		if !owned {
			m.builder.Delete(prefix)
			continue
		}
		m.builder.Insert(prefix, o.sites)
		if o.entries > 1 {
			m.shared[prefix] = true
		}
	}
}
