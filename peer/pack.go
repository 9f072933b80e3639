package peer

import (
	"encoding/binary"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/route"
)

// Digests are sent many times a second, so they are packed: varints in coarse units, with a bit
// mask of the nonzero fields. A packed digest takes 8 to 16 bytes, a third of its gob encoding.

// Units of packed fields.
const (
	packMillis = 10  // ages, queues and waits
	packTokens = 64  // free memory
	packHead   = 256 // cached tokens of a prompt
)

// pack appends the digests to a message.
func pack(ds []route.Digest) []byte {
	out := make([]byte, 0, 16*len(ds))
	for _, d := range ds {
		out = binary.LittleEndian.AppendUint32(out, d.Number)
		fields := [...]uint64{uint64(d.AgeMillis) / packMillis, uint64(d.QueueMillis) / packMillis, zigzag(int64(d.FreeTokens) / packTokens),
			zigzag(int64(d.FreeSlots)), uint64(d.WaitMillis) / packMillis, uint64(d.LinkMillis) / packMillis, uint64(d.SlowPct),
			uint64(d.FailPct), uint64(d.Flags), uint64(d.TrustPct), uint64(len(d.Heads)), uint64(d.LagMillis) / packMillis}
		var mask uint64
		for i, f := range fields {
			if f != 0 {
				mask |= 1 << i
			}
		}
		out = binary.AppendUvarint(out, mask)
		for _, f := range fields {
			if f != 0 {
				out = binary.AppendUvarint(out, f)
			}
		}
		for _, h := range d.Heads {
			out = binary.LittleEndian.AppendUint32(out, h.Head)
			out = binary.AppendUvarint(out, uint64(h.Tokens)/packHead)
		}
	}
	return out
}

func zigzag(n int64) uint64   { return uint64(n<<1) ^ uint64(n>>63) }
func unzigzag(n uint64) int64 { return int64(n>>1) ^ -int64(n&1) }

// errDamaged is returned for a message that pack can't have produced.
var errDamaged = errors.New("packed digests are damaged")

// reader parses a packed message. After an error it returns zeros.
type reader struct {
	src []byte
	bad bool
}

func (r *reader) uvarint() uint64 {
	n, k := binary.Uvarint(r.src)
	if k <= 0 {
		r.bad, r.src = true, nil
		return 0
	}
	r.src = r.src[k:]
	return n
}

func (r *reader) uint32() uint32 {
	if len(r.src) < 4 {
		r.bad, r.src = true, nil
		return 0
	}
	n := binary.LittleEndian.Uint32(r.src)
	r.src = r.src[4:]
	return n
}

// packedFields is the number of fields in a packed digest.
const packedFields = 12

// unpack parses the output of pack. Values that don't fit their field are truncated.
func unpack(src []byte) ([]route.Digest, error) {
	r := &reader{src: src}
	var out []route.Digest
	for len(r.src) > 0 {
		d := route.Digest{Number: r.uint32()}
		mask := r.uvarint()
		var f [packedFields]uint64
		for i := range f {
			if mask&(1<<i) != 0 {
				f[i] = r.uvarint()
			}
		}
		d.AgeMillis, d.QueueMillis = uint32(f[0]*packMillis), uint32(f[1]*packMillis)
		d.FreeTokens, d.FreeSlots = int32(unzigzag(f[2])*packTokens), int32(unzigzag(f[3]))
		d.WaitMillis, d.LinkMillis = uint32(f[4]*packMillis), uint32(f[5]*packMillis)
		d.SlowPct, d.FailPct, d.Flags, d.TrustPct = uint16(f[6]), uint8(f[7]), uint8(f[8]), uint8(f[9])
		d.LagMillis = uint32(f[11] * packMillis)
		for n := f[10]; n > 0 && !r.bad; n-- {
			d.Heads = append(d.Heads, route.HeadDigest{Head: r.uint32(), Tokens: uint32(r.uvarint() * packHead)})
		}
		if r.bad {
			return out, errDamaged
		}
		out = append(out, d)
	}
	return out, nil
}
