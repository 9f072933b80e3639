package blackboard

import (
	"fmt"
	"testing"
	"time"

	"github.com/embercove/embercove/request"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func hostNamed(name string, inc, beat uint64) Host {
	return Host{Name: name, Number: request.HostNumber(name), Domain: "a", Incarnation: inc, Beat: beat, Peers: "127.0.0.1:1"}
}

func testHosts(names ...string) *HostTable {
	t := newHostTable(hostNamed("self", 1, 0), 2*time.Second, 500*time.Millisecond)
	for _, n := range names {
		t.Learn(hostNamed(n, 5, 1), start)
	}
	return t
}

// TestHosts plays what is heard of a host, one step a line, and states
// whether it is live and owns endpoints at the end.
func TestHosts(t *testing.T) {
	x := request.HostNumber("x")
	cases := []struct {
		name       string
		play       func(h *HostTable)
		live, owns bool
	}{
		{"heard just now", func(*HostTable) {}, true, true},
		{"silent", func(h *HostTable) { h.Learn(hostNamed("x", 5, 1), start.Add(9*time.Second)) }, false, false},
		{"beats on", func(h *HostTable) { h.Learn(hostNamed("x", 5, 9), start.Add(9*time.Second)) }, true, true},
		{"an old incarnation speaks", func(h *HostTable) { h.Learn(hostNamed("x", 4, 99), start.Add(9*time.Second)) }, false, false},
		{"restarted", func(h *HostTable) { h.Learn(hostNamed("x", 6, 1), start.Add(9*time.Second)) }, true, true},
		{"listed by the platform only", func(h *HostTable) { h.Learn(Host{Name: "x", Number: x, Domain: "a"}, start.Add(9*time.Second)) }, false, false},
		{"doubted: another stands in", func(h *HostTable) { h.Doubt(x) }, true, false},
		{"doubted, and then heard of", func(h *HostTable) {
			h.Doubt(x)
			h.Learn(hostNamed("x", 5, 20), start.Add(9*time.Second))
		}, true, true},
		{"leaving by its own word", func(h *HostTable) {
			l := hostNamed("x", 5, 20)
			l.Leaving = true
			h.Learn(l, start.Add(9*time.Second))
		}, true, false},
		{"leaving by the list", func(h *HostTable) {
			h.Learn(hostNamed("x", 5, 20), start.Add(9*time.Second))
			h.ListedLeaving(x, 5)
		}, true, false},
		{"restarted after the list said leaving", func(h *HostTable) {
			h.ListedLeaving(x, 5)
			h.Learn(hostNamed("x", 6, 1), start.Add(9*time.Second))
		}, true, true},
		{"accused, and an earlier heartbeat comes by way of others", func(h *HostTable) {
			h.Learn(hostNamed("x", 5, 20), start.Add(9*time.Second))
			h.Accuse(x, 5, 24, start.Add(9*time.Second))
			h.Learn(hostNamed("x", 5, 23), start.Add(9*time.Second))
		}, false, false},
		{"accused, and it beats on", func(h *HostTable) {
			h.Learn(hostNamed("x", 5, 20), start.Add(9*time.Second))
			h.Accuse(x, 5, 24, start.Add(9*time.Second))
			h.Learn(hostNamed("x", 5, 25), start.Add(9*time.Second))
		}, true, true},
		{"we were paused", func(h *HostTable) { h.Renew(start.Add(9 * time.Second)) }, true, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := testHosts("x")
			tc.play(h)
			at := start
			if tc.name != "heard just now" && tc.name != "doubted: another stands in" {
				at = start.Add(10 * time.Second)
			}
			_, live, _ := h.Get(x, at)
			owns := false
			for k := range uint64(200) {
				if f, ok := h.First(k, "a", at); ok && f.Number == x {
					owns = true
				}
			}
			if live != tc.live || owns != tc.owns {
				t.Errorf("live %v, owns %v; want %v, %v", live, owns, tc.live, tc.owns)
			}
		})
	}
}

// TestOwnership checks that hosts with the same view agree, that the load is
// even, and that a host's end moves only what it owned.
func TestOwnership(t *testing.T) {
	names := []string{"b", "c", "d", "e", "f", "g"}
	h := testHosts(names...)
	before := map[uint64]string{}
	count := map[string]int{}
	for k := range uint64(7000) {
		o, _ := h.First(k, "a", start)
		before[k] = o.Name
		count[o.Name]++
		if first := h.Order(k, "a", start)[0]; first.Name != o.Name {
			t.Fatalf("key %d: First says %s, Order says %s", k, o.Name, first.Name)
		}
	}
	for n, c := range count {
		if c < 800 || c > 1200 {
			t.Errorf("%s owns %d of 7000, want about 1000", n, c)
		}
	}
	left := hostNamed("c", 5, 2)
	left.Leaving = true
	h.Learn(left, start)
	for k, was := range before {
		o, _ := h.First(k, "a", start)
		if was != "c" && o.Name != was {
			t.Fatalf("key %d moved from %s to %s though c left", k, was, o.Name)
		}
	}
}

// TestPause checks that a gap is noticed once and drops beliefs.
func TestPause(t *testing.T) {
	p := NewPause(50 * time.Millisecond)
	dropped := 0
	p.OnWake(func(time.Time) { dropped++ })
	time.Sleep(2 * time.Millisecond)
	p.tick()
	if p.Check() {
		t.Error("a pause was noticed without one")
	}
	time.Sleep(80 * time.Millisecond) // the ticker doesn't run
	if !p.Check() || p.Check() || dropped != 1 {
		t.Errorf("dropped %d times, want once", dropped)
	}
}

func BenchmarkFirst(b *testing.B) {
	for _, n := range []int{8, 88} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			var names []string
			for i := range n {
				names = append(names, fmt.Sprintf("h%d", i))
			}
			h := testHosts(names...)
			for i := 0; b.Loop(); i++ {
				h.First(uint64(i), "a", start)
			}
		})
	}
}

// TestSteady checks that a doubt, which each host has for itself, changes who
// serves and not who may order.
func TestSteady(t *testing.T) {
	h := testHosts("x", "y", "z")
	for key := range uint64(50) {
		before, _ := h.First(key, "a", start)
		steady, _ := h.FirstSteady(key, "a", start)
		if before.Number != steady.Number {
			t.Fatalf("key %d: %s serves and %s orders, without any doubt", key, before.Name, steady.Name)
		}
	}
	members, all := h.Members(start), h.Fingerprint(start)
	h.Doubt(request.HostNumber("x"))
	if h.Members(start) != members {
		t.Error("a doubt changes the members")
	}
	if h.Fingerprint(start) == all {
		t.Error("a doubt changes nothing for those who serve")
	}
	for key := range uint64(50) {
		if first, _ := h.First(key, "a", start); first.Name == "x" {
			t.Fatalf("key %d is served by a doubted host", key)
		}
	}
	h.Accuse(request.HostNumber("x"), 5, 1, start)
	if h.Members(start) == members {
		t.Error("a host that is gone leaves the members as they were")
	}
}
