package feed

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"sync"

	"bilberrytiller.example/tiller/coordination/objects"
	"bilberrytiller.example/tiller/protocol/wire"
)

const (
	// minPackedBytes is the smallest spec that is compressed. Smaller ones arrive soon
	// enough.
	minPackedBytes = 4 << 10
	// maxPackedSpecs is the number of compressed specs that are kept.
	maxPackedSpecs = 64
)

// errUnreadablePack means that a compressed spec cannot be read.
var errUnreadablePack = errors.New("compressed spec cannot be read")

// packer compresses large specs for replies. Several daemons get the same ones, so it keeps
// the latest of each object. It is safe for concurrent use.
type packer struct {
	mu     sync.Mutex
	packed map[string]packedSpec
}

// packedSpec is the compressed spec of an object at a revision.
type packedSpec struct {
	at       objects.Position
	deflated []byte
}

// pack moves the large specs of a reply into its packed ones.
func (p *packer) pack(k *wire.KindReply) {
	for i := range k.Objects {
		p.packObject(k, i, &k.Objects[i])
	}
	for i := range k.Events {
		p.packObject(k, i, &k.Events[i].Object)
	}
}

func (p *packer) packObject(k *wire.KindReply, index int, o *objects.Object) {
	if len(o.Spec) < minPackedBytes {
		return
	}
	deflated := p.deflated(k.Kind, objects.Position{Era: k.Era, Revision: o.Revision}, o)
	if len(deflated) >= len(o.Spec) {
		return
	}
	k.Packed = append(k.Packed, wire.PackedSpec{Index: index, Deflated: deflated})
	o.Spec = nil
}

// deflated returns the compressed spec of an object. Concurrent calls for one object wait
// for the first.
func (p *packer) deflated(kind string, at objects.Position, o *objects.Object) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := kind + "/" + o.Name
	if known, ok := p.packed[key]; ok && known.at == at {
		return known.deflated
	}
	var b bytes.Buffer
	// The level is valid, and a buffer accepts all writes.
	w, _ := flate.NewWriter(&b, flate.BestSpeed)
	_, _ = w.Write(o.Spec)
	_ = w.Close()
	p.keep(key, packedSpec{at, b.Bytes()})
	return b.Bytes()
}

// keep keeps a compressed spec. The caller holds mu.
func (p *packer) keep(key string, spec packedSpec) {
	if p.packed == nil || len(p.packed) >= maxPackedSpecs {
		p.packed = map[string]packedSpec{}
	}
	p.packed[key] = spec
}

// unpack restores the specs of a reply, and keeps the compressed ones for replies to others.
func (p *packer) unpack(k *wire.KindReply) error {
	for _, spec := range k.Packed {
		o := packedObject(k, spec.Index)
		if o == nil {
			return fmt.Errorf("%w: kind %s has no object %d", errUnreadablePack, k.Kind, spec.Index)
		}
		var err error
		if o.Spec, err = inflate(spec.Deflated); err != nil {
			return fmt.Errorf("%w: kind %s, object %q: %w", errUnreadablePack, k.Kind, o.Name, err)
		}
		p.mu.Lock()
		p.keep(k.Kind+"/"+o.Name, packedSpec{objects.Position{Era: k.Era, Revision: o.Revision}, spec.Deflated})
		p.mu.Unlock()
	}
	k.Packed = nil
	return nil
}

// packedObject returns the object whose spec is packed, or nil.
func packedObject(k *wire.KindReply, index int) *objects.Object {
	switch {
	case index < 0:
	case index < len(k.Objects):
		return &k.Objects[index]
	case index < len(k.Events):
		return &k.Events[index].Object
	}
	return nil
}

// inflate decompresses a spec, which may have wire.MaxFrameBytes.
func inflate(deflated []byte) ([]byte, error) {
	spec, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(deflated)), wire.MaxFrameBytes+1))
	if err == nil && len(spec) > wire.MaxFrameBytes {
		err = fmt.Errorf("spec has more than %d bytes", wire.MaxFrameBytes)
	}
	return spec, err
}
