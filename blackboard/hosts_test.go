package blackboard

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/embercove/embercove/request"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func hostNamed(name string, inc, beat uint64) Host {
	return Host{Name: name, Number: request.HostNumber(name), Domain: "a", Incarnation: inc, Heartbeat: beat, Peers: "127.0.0.1:1"}
}

func testHosts(names ...string) *HostTable {
	t := newHostTable(hostNamed("self", 1, 0), 2*time.Second, 500*time.Millisecond)
	for _, n := range names {
		t.Learn(hostNamed(n, 5, 1), start)
	}
	return t
}

// TestHosts applies sequences of heartbeats and reports about a host, and checks whether it is
// live and owns endpoints at the end.
func TestHosts(t *testing.T) {
	x := request.HostNumber("x")
	cases := []struct {
		name       string
		apply      func(h *HostTable)
		live, owns bool
	}{
		{"heartbeat just now", func(*HostTable) {}, true, true},
		{"silent", func(h *HostTable) { h.Learn(hostNamed("x", 5, 1), start.Add(9*time.Second)) }, false, false},
		{"heartbeat continues", func(h *HostTable) { h.Learn(hostNamed("x", 5, 9), start.Add(9*time.Second)) }, true, true},
		{"heartbeat of an old incarnation", func(h *HostTable) { h.Learn(hostNamed("x", 4, 99), start.Add(9*time.Second)) }, false, false},
		{"restarted", func(h *HostTable) { h.Learn(hostNamed("x", 6, 1), start.Add(9*time.Second)) }, true, true},
		{"listed by the platform only", func(h *HostTable) { h.Learn(Host{Name: "x", Number: x, Domain: "a"}, start.Add(9*time.Second)) }, false, false},
		{"unconfirmed: replaced by another", func(h *HostTable) { h.MarkUnconfirmed(x) }, true, false},
		{"unconfirmed, then a heartbeat", func(h *HostTable) {
			h.MarkUnconfirmed(x)
			h.Learn(hostNamed("x", 5, 20), start.Add(9*time.Second))
		}, true, true},
		{"leaving by its own heartbeat", func(h *HostTable) {
			l := hostNamed("x", 5, 20)
			l.Leaving = true
			h.Learn(l, start.Add(9*time.Second))
		}, true, false},
		{"leaving by the platform's list", func(h *HostTable) {
			h.Learn(hostNamed("x", 5, 20), start.Add(9*time.Second))
			h.ListedLeaving(x, 5)
		}, true, false},
		{"restarted after being listed as leaving", func(h *HostTable) {
			h.ListedLeaving(x, 5)
			h.Learn(hostNamed("x", 6, 1), start.Add(9*time.Second))
		}, true, true},
		{"suspected, then an earlier heartbeat by way of others", func(h *HostTable) {
			h.Learn(hostNamed("x", 5, 20), start.Add(9*time.Second))
			h.Suspect(x, 5, 24, start.Add(9*time.Second))
			h.Learn(hostNamed("x", 5, 23), start.Add(9*time.Second))
		}, false, false},
		{"suspected, then a later heartbeat", func(h *HostTable) {
			h.Learn(hostNamed("x", 5, 20), start.Add(9*time.Second))
			h.Suspect(x, 5, 24, start.Add(9*time.Second))
			h.Learn(hostNamed("x", 5, 25), start.Add(9*time.Second))
		}, true, true},
		{"this host was paused", func(h *HostTable) { h.ResetSilence(start.Add(9 * time.Second)) }, true, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := testHosts("x")
			tc.apply(h)
			at := start
			if tc.name != "heartbeat just now" && tc.name != "unconfirmed: replaced by another" {
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

// TestShorterRoundMakesNoHostGone guards against hosts that count as gone because this host's last exchange was short
// and the silence it allows fell at once.
func TestShorterRoundMakesNoHostGone(t *testing.T) {
	h := testHosts("x")
	x := request.HostNumber("x")
	h.SetRound(2*time.Second, start)
	h.SetRound(500*time.Millisecond, start.Add(8*time.Second))
	if _, live, _ := h.Get(x, start.Add(8*time.Second)); !live {
		t.Error("a host whose heartbeat was on its way in long rounds counts as gone after a short one")
	}
	h.SetRound(500*time.Millisecond, start.Add(40*time.Second))
	h.Learn(hostNamed("x", 5, 9), start.Add(40*time.Second))
	if _, live, _ := h.Get(x, start.Add(44*time.Second)); live {
		t.Error("a silent host is live long after rounds became short")
	}
}

// TestNearlyOverdue checks which hosts are about to count as gone.
func TestNearlyOverdue(t *testing.T) {
	h := testHosts("gone", "older", "old", "fresh", "suspected")
	h.Learn(Host{Name: "listed", Number: request.HostNumber("listed"), Domain: "a", Peers: "127.0.0.1:1"}, start)
	for i, name := range []string{"older", "old", "suspected", "fresh"} {
		h.Learn(hostNamed(name, 5, 9), start.Add(time.Duration(i+1)*time.Second))
	}
	h.Suspect(request.HostNumber("suspected"), 5, 9, start.Add(3*time.Second))
	names := func(n int) (out []string) {
		for _, o := range h.NearlyOverdue(1500*time.Millisecond, n, start.Add(4*time.Second)) {
			out = append(out, o.Name)
		}
		return out
	}
	if got, want := names(8), []string{"older", "old"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	if got, want := names(1), []string{"older"}; !slices.Equal(got, want) {
		t.Errorf("of at most one: got %v, want %v", got, want)
	}
}

// TestOwnership checks that First and Order agree, that ownership is spread evenly, and that only
// the keys of a leaving host move.
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

// TestPause checks that a gap is detected exactly once and runs the functions of OnWake.
func TestPause(t *testing.T) {
	p := NewPause(50 * time.Millisecond)
	dropped := 0
	p.OnWake(func(time.Time) { dropped++ })
	time.Sleep(2 * time.Millisecond)
	p.tick()
	if p.Check() {
		t.Error("a pause was detected without one")
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

// TestSteady checks that an unconfirmed host is replaced as owner, but not as the host that may
// send orders: hosts disagree on who is unconfirmed, and two of them must not order one runner.
func TestSteady(t *testing.T) {
	h := testHosts("x", "y", "z")
	for key := range uint64(50) {
		before, _ := h.First(key, "a", start)
		steady, _ := h.FirstStable(key, "a", start)
		if before.Number != steady.Number {
			t.Fatalf("key %d: %s serves and %s orders, with no host unconfirmed", key, before.Name, steady.Name)
		}
	}
	members, all := h.Members(start), h.Fingerprint(start)
	h.MarkUnconfirmed(request.HostNumber("x"))
	if h.Members(start) != members {
		t.Error("an unconfirmed host changes the members")
	}
	if h.Fingerprint(start) == all {
		t.Error("an unconfirmed host doesn't change the fingerprint")
	}
	for key := range uint64(50) {
		if first, _ := h.First(key, "a", start); first.Name == "x" {
			t.Fatalf("key %d is served by an unconfirmed host", key)
		}
	}
	h.Suspect(request.HostNumber("x"), 5, 1, start)
	if h.Members(start) == members {
		t.Error("a host that is gone doesn't change the members")
	}
}
