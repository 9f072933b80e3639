package peer

import (
	"bytes"
	"encoding/gob"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
)

// PackedDocument is a document on its way to another host. A change of one limit
// in a thousand routes takes some hundred bytes if the asker has the document
// before it.
type PackedDocument struct {
	Revision uint64 // 0: there is none
	Base     uint64 // revision that it is packed against; 0: none
	Sum      uint64 // xxhash of the document
	Packed   []byte // zstd, with the document of Base as its dictionary
}

// Bounds of packing.
const (
	packWindow  = 4 << 20  // bytes: a document and the one before it, at the platform's largest value each, with room for names that are longer here
	mostUnpack  = 16 << 20 // bytes of a document: far above what the platform holds
	mostPacked  = 8        // packed forms kept: the hosts of a fleet are at a few revisions
	packDictID  = 1        // any number that both sides use
	packWorkers = 1        // goroutines of an encoder or decoder: a host has one core
)

// packer packs documents and keeps the packed forms of the newest, since many
// hosts ask for the same. The zero value works.
type packer struct {
	mu       sync.Mutex
	revision uint64
	forms    map[uint64][]byte // by the revision of the base

	roster config.Position // of the roster that whole is
	whole  []byte
}

// pack packs a document against the one that the asker has; nil: none.
func (p *packer) pack(doc blackboard.Source, base *blackboard.Source) (PackedDocument, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := PackedDocument{Revision: doc.Revision, Sum: doc.Sum}
	if base != nil {
		out.Base = base.Revision
	}
	if doc.Revision != p.revision || len(p.forms) >= mostPacked {
		p.revision, p.forms = doc.Revision, map[uint64][]byte{}
	}
	if form := p.forms[out.Base]; form != nil {
		out.Packed = form
		return out, nil
	}
	var err error
	out.Packed, err = compress(doc.Text, base)
	p.forms[out.Base] = out.Packed
	return out, errors.Wrapf(err, "pack revision %d", doc.Revision)
}

// packRoster packs a whole roster, to an eighth of its size: hosts that start together
// ask one of them for it.
func (p *packer) packRoster(r *config.RosterList) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.whole != nil && p.roster == r.Revision {
		return p.whole, nil
	}
	var plain bytes.Buffer
	if err := gob.NewEncoder(&plain).Encode(r); err != nil {
		return nil, errors.Wrapf(err, "pack roster %d", r.Revision)
	}
	packed, err := compress(plain.Bytes(), nil)
	if err != nil {
		return nil, errors.Wrapf(err, "pack roster %d", r.Revision)
	}
	p.roster, p.whole = r.Revision, packed
	return packed, nil
}

// unpackRoster returns the roster that another host packed.
func unpackRoster(packed []byte) (*config.RosterList, error) {
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(packWorkers), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(mostUnpack))
	if err != nil {
		return nil, errors.Wrap(err, "unpack roster")
	}
	defer dec.Close()
	plain, err := dec.DecodeAll(packed, nil)
	if err != nil {
		return nil, errors.Wrap(err, "unpack roster")
	}
	r := new(config.RosterList)
	return r, errors.Wrap(gob.NewDecoder(bytes.NewReader(plain)).Decode(r), "unpack roster")
}

// compress returns a text as zstd, with the base as its dictionary.
func compress(text []byte, base *blackboard.Source) ([]byte, error) {
	options := []zstd.EOption{zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(packWorkers), zstd.WithWindowSize(packWindow), zstd.WithLowerEncoderMem(true)}
	if base != nil {
		options = append(options, zstd.WithEncoderDictRaw(packDictID, base.Text))
	}
	enc, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, err
	}
	defer enc.Close()
	return enc.EncodeAll(text, nil), nil
}

// unpackDocument returns the document that another host packed.
func unpackDocument(d *PackedDocument, table *blackboard.ConfigTable) ([]byte, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(packWorkers), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(mostUnpack)}
	if d.Base != 0 {
		base := table.Source(d.Base)
		if base == nil {
			return nil, errors.Errorf("packed against revision %d, which is not held any more", d.Base)
		}
		options = append(options, zstd.WithDecoderDictRaw(packDictID, base.Text))
	}
	dec, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, errors.Wrap(err, "unpack")
	}
	defer dec.Close()
	src, err := dec.DecodeAll(d.Packed, nil)
	if err != nil {
		return nil, errors.Wrap(err, "unpack")
	}
	if sum := xxhash.Sum64(src); sum != d.Sum {
		return nil, errors.Errorf("unpack: sum %x, should be %x", sum, d.Sum)
	}
	return src, nil
}
