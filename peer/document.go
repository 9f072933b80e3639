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

// PackedDocument is a compressed configuration document. If the receiver has the preceding
// document, a change of one limit in a thousand routes takes a few hundred bytes.
type PackedDocument struct {
	Revision uint64 // 0: no document
	Base     uint64 // revision used as the dictionary; 0: none
	Sum      uint64 // xxhash of the document
	Packed   []byte // zstd, with the document of Base as its dictionary
}

// Bounds of packing.
const (
	packWindow       = 4 << 20  // bytes: a document and the one before it, each at the platform's maximum size, plus margin for names that are longer here
	maxUnpackedBytes = 16 << 20 // bytes of a document: far above the platform's maximum
	maxPackedForms   = 8        // packed forms cached: the hosts of a fleet are at only a few revisions
	packDictID       = 1        // any number, as long as both sides use the same one
	packWorkers      = 1        // goroutines per encoder or decoder: a host has one core
)

// packer packs documents and caches the packed forms of the newest one, since many hosts request
// the same. The zero value is ready to use.
type packer struct {
	mu       sync.Mutex
	revision uint64
	forms    map[uint64][]byte // by the revision of the base

	rosterRevision config.Position // of packedRoster
	packedRoster   []byte
}

// pack packs a document, using the receiver's document as the dictionary if base isn't nil.
func (p *packer) pack(doc blackboard.Source, base *blackboard.Source) (PackedDocument, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := PackedDocument{Revision: doc.Revision, Sum: doc.Sum}
	if base != nil {
		out.Base = base.Revision
	}
	if doc.Revision != p.revision || len(p.forms) >= maxPackedForms {
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

// packRoster packs a whole roster, to about an eighth of its size. The result is cached, because
// hosts that start together request it from the same host.
func (p *packer) packRoster(r *config.RosterList) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.packedRoster != nil && p.rosterRevision == r.Revision {
		return p.packedRoster, nil
	}
	var plain bytes.Buffer
	if err := gob.NewEncoder(&plain).Encode(r); err != nil {
		return nil, errors.Wrapf(err, "pack roster %d", r.Revision)
	}
	packed, err := compress(plain.Bytes(), nil)
	if err != nil {
		return nil, errors.Wrapf(err, "pack roster %d", r.Revision)
	}
	p.rosterRevision, p.packedRoster = r.Revision, packed
	return packed, nil
}

// unpackRoster returns a roster packed by packRoster.
func unpackRoster(packed []byte) (*config.RosterList, error) {
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(packWorkers), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxUnpackedBytes))
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

// compress compresses a text with zstd, using base as the dictionary if it isn't nil.
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

// unpackDocument returns a document packed by another host.
func unpackDocument(d *PackedDocument, table *blackboard.ConfigTable) ([]byte, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(packWorkers), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxUnpackedBytes)}
	if d.Base != 0 {
		base := table.Source(d.Base)
		if base == nil {
			return nil, errors.Errorf("packed against revision %d, which is no longer held", d.Base)
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
		return nil, errors.Errorf("unpack: checksum is %x, want %x", sum, d.Sum)
	}
	return src, nil
}
