package peer

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
)

// documentOf returns a document with the given number of routes, whose names resemble generated
// ones.
func documentOf(routes, bodyBytes int) []byte {
	rng := rand.New(rand.NewPCG(1, 2))
	var out strings.Builder
	for i := range routes {
		if i > 0 {
			out.WriteByte(',')
		}
		fmt.Fprintf(&out, `{"name": "r-%08x", "host": "h%d.example", "path_prefix": "/%08x/", "timeout_ms": 1500, "pools": [{"pool": "p", "weight": 1}]}`,
			rng.Uint32(), rng.IntN(9), rng.Uint32())
	}
	return fmt.Appendf(nil, `{"failure_domains": [{"name": "d", "region": "r"}], "targets": {"ttft_ms": 900, "tpot_ms": 10},
"limits": {"body_bytes": %d}, "pools": [{"name": "p", "slots": 4}], "routes": [%s]}`, bodyBytes, out.String())
}

// tableWith returns a table to which the documents were applied in order, as revisions 1, 2 and
// so on.
func tableWith(t *testing.T, docs ...[]byte) *blackboard.ConfigTable {
	t.Helper()
	s := &config.Settings{Host: "a", Domain: "d", Region: "r", Peers: "127.0.0.1:1"}
	s.SetDefaults()
	table := blackboard.New(s).Config
	for i, src := range docs {
		if inForce, err := table.Offer(uint64(i+1), src); err != nil || !inForce {
			t.Fatalf("revision %d: in force %v, %v", i+1, inForce, err)
		}
	}
	return table
}

// TestPackedDocument packs a document for hosts that have other revisions. It checks that they
// can unpack it, and the size of the packed form.
func TestPackedDocument(t *testing.T) {
	small, large, changed := documentOf(4, 1000), documentOf(1400, 1000), documentOf(1400, 2000)
	more := documentOf(2800, 1000)
	cases := []struct {
		name     string
		receiver [][]byte
		source   [][]byte
		maxBytes int // maximum packed size in bytes
		whole    bool
	}{
		{"no document yet", nil, [][]byte{large}, len(large) / 4, true},
		{"one limit changed", [][]byte{small, large}, [][]byte{small, large, changed}, 1000, false},
		{"twice as many routes", [][]byte{large}, [][]byte{large, more}, len(large) / 4, false},
		{"two revisions behind", [][]byte{small}, [][]byte{small, large, changed}, len(large) / 4, false},
		{"the receiver's revision has different content", [][]byte{changed}, [][]byte{large, more}, len(more) / 4, true},
		{"the receiver's revision is no longer held", [][]byte{small}, [][]byte{small, large, changed, large, more}, len(more) / 4, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			receiver, source := tableWith(t, tc.receiver...), tableWith(t, tc.source...)
			want, has := source.Newest(), receiver.Newest()
			base := source.Source(has.Revision)
			if base != nil && base.Sum != has.Sum {
				base = nil
			}
			var p packer
			for range 2 { // the second iteration uses the cached form
				d, err := p.pack(want, base)
				if err != nil {
					t.Fatal(err)
				}
				if len(d.Packed) > tc.maxBytes || (d.Base == 0) != tc.whole {
					t.Errorf("%d bytes against revision %d, want at most %d, whole %v", len(d.Packed), d.Base, tc.maxBytes, tc.whole)
				}
				src, err := unpackDocument(&d, receiver)
				if err != nil || !bytes.Equal(src, want.Text) {
					t.Errorf("unpacked %d bytes, want %d: %v", len(src), len(want.Text), err)
				}
			}
		})
	}
}

// TestBrokenDocument checks that a packed document that is damaged or mislabelled is rejected.
func TestBrokenDocument(t *testing.T) {
	base, next := documentOf(20, 1000), documentOf(20, 2000)
	table := tableWith(t, base)
	source := tableWith(t, base, next)
	cases := map[string]func(d *PackedDocument){
		"cut off":                func(d *PackedDocument) { d.Packed = d.Packed[:len(d.Packed)/2] },
		"empty":                  func(d *PackedDocument) { d.Packed = nil },
		"another sum":            func(d *PackedDocument) { d.Sum++ },
		"a base that isn't held": func(d *PackedDocument) { d.Base = 9 },
		"no base named":          func(d *PackedDocument) { d.Base = 0 },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			var p packer
			d, err := p.pack(source.Newest(), source.Source(1))
			if err != nil {
				t.Fatal(err)
			}
			change(&d)
			if src, err := unpackDocument(&d, table); err == nil {
				t.Errorf("accepted, %d bytes", len(src))
			}
		})
	}
}

// TestPackedRoster packs rosters one after the other, and checks the packed sizes.
func TestPackedRoster(t *testing.T) {
	roster := func(revision uint64, endpoints int) *config.RosterList {
		r := &config.RosterList{Revision: config.Position(revision)}
		for i := range endpoints {
			r.Endpoints = append(r.Endpoints, config.Endpoint{Name: fmt.Sprintf("i-%x", i*7919%0xffffff), Address: fmt.Sprintf("10.8.%d.%d:80", i/250, i%250),
				Domain: "ab"[i%2 : i%2+1], Pool: "llm", Role: config.Decode, Registered: true, Leaving: i%9 == 0})
		}
		return r
	}
	var p packer
	for _, tc := range []struct {
		r        *config.RosterList
		maxBytes int // maximum packed size in bytes
	}{{roster(1, 0), 530}, {roster(2, 10), 668}, {roster(3, 3000), 22_500}, {roster(3, 3000), 22_500}, {roster(4, 2999), 22_500}} {
		packed, err := p.packRoster(tc.r)
		if err != nil {
			t.Fatal(err)
		}
		got, err := unpackRoster(packed)
		if err != nil {
			t.Fatal(err)
		}
		if got.Revision != tc.r.Revision || !slices.EqualFunc(got.Endpoints, tc.r.Endpoints, func(a, b config.Endpoint) bool { return reflect.DeepEqual(a, b) }) {
			t.Errorf("roster %d of %d endpoints was unpacked as %d of %d", tc.r.Revision, len(tc.r.Endpoints), got.Revision, len(got.Endpoints))
		}
		if len(packed) > tc.maxBytes {
			t.Errorf("roster of %d endpoints takes %d bytes, want at most %d", len(tc.r.Endpoints), len(packed), tc.maxBytes)
		}
	}
	if _, err := unpackRoster([]byte("no zstd")); err == nil {
		t.Error("a broken roster was unpacked")
	}
}
