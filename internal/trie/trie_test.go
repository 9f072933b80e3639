package trie

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"
)

// TestAgainstMap applies the same random changes to a trie and to a Go map, and compares their
// contents and their differences from an earlier version, which must not change. There are few
// keys and they share their low bits, so that nodes split and join.
func TestAgainstMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.Custom(func(t *rapid.T) uint32 {
			return rapid.Uint32Range(0, 40).Draw(t, "low") | rapid.Uint32Range(0, 3).Draw(t, "high")<<30
		})
		var m, old Map[int]
		want, before := map[uint32]*int{}, map[uint32]*int{}
		for range rapid.IntRange(0, 80).Draw(t, "steps") {
			k := key.Draw(t, "key")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				m = m.Without(k)
				delete(want, k)
			case 1:
				old, before = m, maps.Clone(want)
			default:
				v := new(int)
				m, want[k] = m.With(k, v), v
			}
		}
		check(t, m, want)
		check(t, old, before)
		differs := map[uint32]bool{}
		Diff(old, m, func(k uint32, a, b *int) {
			if a == b || a != before[k] || b != want[k] || differs[k] {
				t.Errorf("difference at %x: %p to %p, want %p to %p, once", k, a, b, before[k], want[k])
			}
			differs[k] = true
		})
		for k := range want {
			if want[k] != before[k] && !differs[k] {
				t.Errorf("%x differs but was not reported", k)
			}
		}
		for k := range before {
			if want[k] != before[k] && !differs[k] {
				t.Errorf("%x differs but was not reported", k)
			}
		}
		Diff(Collect(m.All()), m, func(k uint32, _, _ *int) { t.Errorf("collected anew, %x differs", k) })
	})
}

func check(t *rapid.T, m Map[int], want map[uint32]*int) {
	got := maps.Collect(m.All())
	if !maps.Equal(got, want) || m.Len() != len(want) {
		t.Errorf("holds %v of %d, want %v", got, m.Len(), want)
	}
	for k, v := range want {
		if m.Get(k) != v {
			t.Errorf("%x: %p, want %p", k, m.Get(k), v)
		}
	}
}

// TestDiffLooksAtLittle compares two versions that differ in one value, after the nodes they
// share were made unreadable: Diff must find the difference without visiting them.
func TestDiffLooksAtLittle(t *testing.T) {
	for _, n := range []uint32{1500, 12000} {
		m := Collect(func(yield func(uint32, *int) bool) {
			for i := range n {
				if !yield(spread(i), new(int)) {
					return
				}
			}
		})
		now := m.With(spread(7), new(int))
		for i := range m.root.slots {
			if child := m.root.slots[i].child; child == now.root.slots[i].child {
				child.slots = nil
			}
		}
		count := 0
		Diff(m, now, func(uint32, *int, *int) { count++ })
		if count != 1 {
			t.Errorf("of %d: reported %d differences, want one", n, count)
		}
	}
}

func BenchmarkWith(b *testing.B) {
	for _, n := range []uint32{1500, 6000, 12000} {
		b.Run(fmt.Sprintf("values=%d", n), func(b *testing.B) {
			var m Map[int]
			for i := range n {
				m = m.With(spread(i), new(int))
			}
			b.ReportAllocs()
			i := uint32(0)
			for b.Loop() {
				m = m.With(spread(i%n), new(int))
				i++
			}
		})
	}
}

// spread returns evenly distributed keys, like hashes.
func spread(i uint32) uint32 { return i * 2654435761 }
