// Package trie implements persistent maps with 32-bit keys.
//
// A map is immutable: With and Without return a new map that shares all nodes with the old one,
// except those on the path to the key. So the cost of a change hardly depends on the size of the
// map, readers need no lock, and Diff compares two versions without visiting the nodes they share.
//
// Keys are expected to be evenly distributed, like hashes.
package trie

import (
	"iter"
	"math/bits"
)

// Each level of the trie selects a branch by branchBits bits of the key.
const (
	branchBits = 5
	branchMask = 1<<branchBits - 1
)

// Map maps keys to values. The zero value is empty.
type Map[V any] struct{ root *node[V] }

// node holds a slot for each non-empty branch, in order of the branches. Every node except the
// root holds at least two values, so that equal maps have equal nodes.
type node[V any] struct {
	size   int    // number of values in the slots and below
	bitmap uint32 // bit b is set if branch b has a slot
	slots  []slot[V]
}

// slot holds either one value or, if child is set, a subtree.
type slot[V any] struct {
	key   uint32
	value *V
	child *node[V]
}

// Len returns the number of values.
func (m Map[V]) Len() int {
	if m.root == nil {
		return 0
	}
	return m.root.size
}

// Get returns the value of a key, or nil if there is none.
func (m Map[V]) Get(key uint32) *V {
	n := m.root
	for shift := 0; n != nil; shift += branchBits {
		s := n.find(branch(key, shift))
		if s == nil {
			return nil
		}
		if s.child == nil {
			if s.key == key {
				return s.value
			}
			return nil
		}
		n = s.child
	}
	return nil
}

// With returns a map with the value set for the key. The value must not be nil.
func (m Map[V]) With(key uint32, value *V) Map[V] {
	if m.Get(key) == value {
		return m
	}
	return Map[V]{m.root.with(slot[V]{key: key, value: value}, 0, clone)}
}

// Without returns a map without the key.
func (m Map[V]) Without(key uint32) Map[V] {
	if m.Get(key) == nil {
		return m
	}
	return Map[V]{m.root.without(key, 0)}
}

// Collect builds a map from a sequence. The last value of a key wins.
func Collect[V any](seq iter.Seq2[uint32, *V]) Map[V] {
	var m Map[V]
	for key, value := range seq {
		m.root = m.root.with(slot[V]{key: key, value: value}, 0, inPlace)
	}
	return m
}

// All yields the keys and values, in an order that depends only on the keys.
func (m Map[V]) All() iter.Seq2[uint32, *V] {
	return func(yield func(uint32, *V) bool) { m.root.each(yield) }
}

// Diff calls f for each key whose value differs between two maps; a missing value is nil.
func Diff[V any](old, now Map[V], f func(key uint32, old, now *V)) { diff(old.root, now.root, 0, f) }

// editMode says whether a node is changed in place or cloned first because other maps may share it.
type editMode bool

const (
	clone   editMode = false
	inPlace editMode = true
)

func branch(key uint32, shift int) uint32 { return key >> shift & branchMask }

// find returns the slot of a branch, or nil if the branch is empty.
func (n *node[V]) find(b uint32) *slot[V] {
	if n.bitmap&(1<<b) == 0 {
		return nil
	}
	return &n.slots[n.index(b)]
}

// index returns the position in slots at which the slot of a branch is or would be.
func (n *node[V]) index(b uint32) int { return bits.OnesCount32(n.bitmap & (1<<b - 1)) }

// with returns the node with a value added or, if it holds the key, replaced.
func (n *node[V]) with(s slot[V], shift int, mode editMode) *node[V] {
	b := branch(s.key, shift)
	if n == nil {
		return &node[V]{size: 1, bitmap: 1 << b, slots: []slot[V]{s}}
	}
	existing := n.find(b)
	if existing == nil {
		return n.insert(b, s, mode)
	}
	before, after := 1, s
	switch {
	case existing.child != nil:
		before = existing.child.size
		after = slot[V]{child: existing.child.with(s, shift+branchBits, mode)}
	case existing.key != s.key:
		child := (*node[V])(nil).with(*existing, shift+branchBits, inPlace)
		after = slot[V]{child: child.with(s, shift+branchBits, inPlace)}
	}
	return n.replace(b, after, after.size()-before, mode)
}

func (s *slot[V]) size() int {
	if s.child != nil {
		return s.child.size
	}
	return 1
}

func (n *node[V]) insert(b uint32, s slot[V], mode editMode) *node[V] {
	if mode == clone {
		n = &node[V]{size: n.size, bitmap: n.bitmap, slots: append(make([]slot[V], 0, len(n.slots)+1), n.slots...)}
	}
	at := n.index(b)
	n.slots = append(n.slots, slot[V]{})
	copy(n.slots[at+1:], n.slots[at:])
	n.slots[at] = s
	n.bitmap |= 1 << b
	n.size++
	return n
}

func (n *node[V]) replace(b uint32, s slot[V], delta int, mode editMode) *node[V] {
	if mode == clone {
		n = &node[V]{size: n.size, bitmap: n.bitmap, slots: append([]slot[V](nil), n.slots...)}
	}
	n.slots[n.index(b)] = s
	n.size += delta
	return n
}

// without returns the node without a key that it must hold, or nil if the node is then empty.
func (n *node[V]) without(key uint32, shift int) *node[V] {
	b := branch(key, shift)
	if s := n.find(b); s.child != nil {
		child := s.child.without(key, shift+branchBits)
		if child.size == 1 {
			return n.replace(b, child.single(), -1, clone)
		}
		return n.replace(b, slot[V]{child: child}, -1, clone)
	}
	if n.size == 1 {
		return nil
	}
	at := n.index(b)
	slots := make([]slot[V], 0, len(n.slots)-1)
	slots = append(append(slots, n.slots[:at]...), n.slots[at+1:]...)
	return &node[V]{size: n.size - 1, bitmap: n.bitmap &^ (1 << b), slots: slots}
}

// single returns the slot of the only value of a node.
func (n *node[V]) single() slot[V] {
	for n.slots[0].child != nil {
		n = n.slots[0].child
	}
	return n.slots[0]
}

// each calls yield for each value until it returns false, and reports whether it visited them all.
func (n *node[V]) each(yield func(uint32, *V) bool) bool {
	if n == nil {
		return true
	}
	for i := range n.slots {
		if s := &n.slots[i]; s.child != nil && !s.child.each(yield) || s.child == nil && !yield(s.key, s.value) {
			return false
		}
	}
	return true
}

func diff[V any](old, now *node[V], shift int, f func(key uint32, old, now *V)) {
	switch {
	case old == now:
	case old == nil:
		now.each(func(key uint32, v *V) bool { f(key, nil, v); return true })
	case now == nil:
		old.each(func(key uint32, v *V) bool { f(key, v, nil); return true })
	default:
		for left := old.bitmap | now.bitmap; left != 0; left &= left - 1 {
			b := uint32(bits.TrailingZeros32(left))
			diffSlots(old.find(b), now.find(b), shift+branchBits, f)
		}
	}
}

func diffSlots[V any](old, now *slot[V], shift int, f func(key uint32, old, now *V)) {
	if old != nil && now != nil && old.child == nil && now.child == nil && old.key == now.key {
		if old.value != now.value {
			f(old.key, old.value, now.value)
		}
		return
	}
	diff(old.node(shift), now.node(shift), shift, f)
}

// node returns the content of a slot as a node of the level that begins at a shift.
func (s *slot[V]) node(shift int) *node[V] {
	switch {
	case s == nil:
		return nil
	case s.child != nil:
		return s.child
	}
	return (*node[V])(nil).with(*s, shift, inPlace)
}
