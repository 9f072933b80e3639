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

// documentOf returns a document of so many routes, with names like those that a
// platform makes up.
func documentOf(routes, bodyBytes int) []byte {
	dice := rand.New(rand.NewPCG(1, 2))
	var out strings.Builder
	for i := range routes {
		if i > 0 {
			out.WriteByte(',')
		}
		fmt.Fprintf(&out, `{"name": "r-%08x", "host": "h%d.example", "path_prefix": "/%08x/", "timeout_ms": 1500, "pools": [{"pool": "p", "weight": 1}]}`,
			dice.Uint32(), dice.IntN(9), dice.Uint32())
	}
	return fmt.Appendf(nil, `{"failure_domains": [{"name": "d", "region": "r"}], "targets": {"ttft_ms": 900, "tpot_ms": 10},
"limits": {"body_bytes": %d}, "pools": [{"name": "p", "slots": 4}], "routes": [%s]}`, bodyBytes, out.String())
}

// tableWith returns a table in which the documents came into force one after the
// other, as revisions 1, 2 and so on.
func tableWith(t *testing.T, docs ...[]byte) *blackboard.ConfigTable {
	t.Helper()
	s := &config.Settings{Host: "a", Domain: "d", Region: "r", Peers: "127.0.0.1:1"}
	s.SetDefaults()
	table := blackboard.New(s).Config
	for i, src := range docs {
		if in, err := table.Offer(uint64(i+1), src); err != nil || !in {
			t.Fatalf("revision %d: in force %v, %v", i+1, in, err)
		}
	}
	return table
}

// TestPackedDocument sends a document to hosts that have others, and states how
// large it may be on its way.
func TestPackedDocument(t *testing.T) {
	small, large, changed := documentOf(4, 1000), documentOf(1400, 1000), documentOf(1400, 2000)
	more := documentOf(2800, 1000)
	cases := []struct {
		name  string
		asker [][]byte
		giver [][]byte
		most  int // bytes packed
		whole bool
	}{
		{"a host that has none", nil, [][]byte{large}, len(large) / 4, true},
		{"one limit changed", [][]byte{small, large}, [][]byte{small, large, changed}, 1000, false},
		{"as many routes more", [][]byte{large}, [][]byte{large, more}, len(large) / 4, false},
		{"two revisions behind", [][]byte{small}, [][]byte{small, large, changed}, len(large) / 4, false},
		{"the asker's revision has another content", [][]byte{changed}, [][]byte{large, more}, len(more) / 4, true},
		{"the asker's is too old to be held", [][]byte{small}, [][]byte{small, large, changed, large, more}, len(more) / 4, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			asker, giver := tableWith(t, tc.asker...), tableWith(t, tc.giver...)
			want, has := giver.Newest(), asker.Newest()
			base := giver.Source(has.Revision)
			if base != nil && base.Sum != has.Sum {
				base = nil
			}
			var p packer
			for range 2 { // the second is a form that was kept
				d, err := p.pack(want, base)
				if err != nil {
					t.Fatal(err)
				}
				if len(d.Packed) > tc.most || (d.Base == 0) != tc.whole {
					t.Errorf("%d bytes against revision %d, want %d at most, whole %v", len(d.Packed), d.Base, tc.most, tc.whole)
				}
				src, err := unpackDocument(&d, asker)
				if err != nil || !bytes.Equal(src, want.Text) {
					t.Errorf("unpacked %d bytes, want %d: %v", len(src), len(want.Text), err)
				}
			}
		})
	}
}

// TestBrokenDocument checks that a document which was not packed as it says is
// never taken for one.
func TestBrokenDocument(t *testing.T) {
	base, next := documentOf(20, 1000), documentOf(20, 2000)
	table := tableWith(t, base)
	giver := tableWith(t, base, next)
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
			d, err := p.pack(giver.Newest(), giver.Source(1))
			if err != nil {
				t.Fatal(err)
			}
			change(&d)
			if src, err := unpackDocument(&d, table); err == nil {
				t.Errorf("taken, %d bytes", len(src))
			}
		})
	}
}

// TestPackedRoster sends rosters one after the other, and states how large they may be.
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
		r    *config.RosterList
		most int // bytes packed
	}{{roster(1, 0), 510}, {roster(2, 10), 644}, {roster(3, 3000), 22_500}, {roster(3, 3000), 22_500}, {roster(4, 2999), 22_500}} {
		packed, err := p.packRoster(tc.r)
		if err != nil {
			t.Fatal(err)
		}
		got, err := unpackRoster(packed)
		if err != nil {
			t.Fatal(err)
		}
		if got.Revision != tc.r.Revision || !slices.EqualFunc(got.Endpoints, tc.r.Endpoints, func(a, b config.Endpoint) bool { return reflect.DeepEqual(a, b) }) {
			t.Errorf("roster %d of %d endpoints came as %d of %d", tc.r.Revision, len(tc.r.Endpoints), got.Revision, len(got.Endpoints))
		}
		if len(packed) > tc.most {
			t.Errorf("roster of %d endpoints takes %d bytes, want %d at the most", len(tc.r.Endpoints), len(packed), tc.most)
		}
	}
	if _, err := unpackRoster([]byte("no zstd")); err == nil {
		t.Error("a broken roster was unpacked")
	}
}
