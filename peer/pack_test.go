package peer

import (
	"reflect"
	"testing"

	"github.com/embercove/embercove/route"
)

func TestPack(t *testing.T) {
	in := []route.Digest{
		{Number: 1},
		{Number: 1<<32 - 1, AgeMillis: 120, QueueMillis: 900, SlowPct: 104, LagMillis: 50, TrustPct: 70, Heads: []route.HeadDigest{{Head: 9, Tokens: 2048}, {Head: 1 << 31, Tokens: 512}}},
		{Number: 7, FreeTokens: -6400, FreeSlots: -3, WaitMillis: 40, LinkMillis: 250, FailPct: 100, Flags: 7},
	}
	b := pack(in)
	out, err := unpack(b)
	if err != nil || !reflect.DeepEqual(in, out) {
		t.Errorf("%v\ngot  %+v\nwant %+v", err, out, in)
	}
	for n := range b {
		unpack(b[:n]) // must not panic
	}
}

func FuzzUnpack(f *testing.F) {
	f.Add(pack([]route.Digest{{Number: 7, FreeTokens: -6400, Heads: []route.HeadDigest{{Head: 9, Tokens: 2048}}}}))
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, src []byte) {
		ds, err := unpack(src)
		if err != nil {
			return
		}
		again, err := unpack(pack(ds))
		if err != nil || len(again) != len(ds) {
			t.Fatalf("%d digests became %d, %v", len(ds), len(again), err)
		}
	})
}
