// Package trie holds persistent maps from 32-bit keys.
//
// A map never changes: With and Without return another one, which shares all but the path
// to the key with the one before. So what a change costs hardly depends on the size of the
// map, readers keep a map that stands still without a lock, and Diff finds what differs
// between two versions without looking at what they share.
//
// Keys are expected to be spread evenly, as hashes are.
package trie

import (
	"iter"
	"math/bits"
)

// The branches of a node are chosen by so many bits of the key.
const (
	branchBits = 5
	branchMask = 1<<branchBits - 1
)

// Map maps keys to values. The zero value is empty.
type Map[V any] struct{ root *node[V] }

// node holds a slot for each branch that isn't empty, in order. Nodes but the root hold
// two values at the least, so that equal maps have equal nodes.
type node[V any] struct {
	size  int    // values in the slots and below
	taken uint32 // branches with a slot
	slots []slot[V]
}

// slot is either one value or, with a kid, those of a node.
type slot[V any] struct {
	key   uint32
	value *V
	kid   *node[V]
}

// Len returns the number of values.
func (m Map[V]) Len() int {
	if m.root == nil {
		return 0
	}
	return m.root.size
}

// Get returns the value of a key; nil: there is none.
func (m Map[V]) Get(key uint32) *V {
	n := m.root
	for shift := 0; n != nil; shift += branchBits {
		s := n.find(branch(key, shift))
		if s == nil {
			return nil
		}
		if s.kid == nil {
			if s.key == key {
				return s.value
			}
			return nil
		}
		n = s.kid
	}
	return nil
}

// With returns a map in which the key has a value, which must not be nil.
func (m Map[V]) With(key uint32, value *V) Map[V] {
	if m.Get(key) == value {
		return m
	}
	return Map[V]{m.root.with(slot[V]{key: key, value: value}, 0, clone)}
}

// Without returns a map in which the key has no value.
func (m Map[V]) Without(key uint32) Map[V] {
	if m.Get(key) == nil {
		return m
	}
	return Map[V]{m.root.without(key, 0)}
}

// Collect returns the map of a sequence. Of values of one key the last one stays.
func Collect[V any](seq iter.Seq2[uint32, *V]) Map[V] {
	var m Map[V]
	for key, value := range seq {
		m.root = m.root.with(slot[V]{key: key, value: value}, 0, inPlace)
	}
	return m
}

// All yields the values, in an order that only the keys decide.
func (m Map[V]) All() iter.Seq2[uint32, *V] {
	return func(yield func(uint32, *V) bool) { m.root.each(yield) }
}

// Diff calls f for each key whose value differs between two maps; nil stands for none.
func Diff[V any](old, now Map[V], f func(key uint32, old, now *V)) { diff(old.root, now.root, 0, f) }

// editing says whether a node that is changed may be seen by others.
type editing bool

const (
	clone   editing = false
	inPlace editing = true
)

func branch(key uint32, shift int) uint32 { return key >> shift & branchMask }

// find returns the slot of a branch, or nil.
func (n *node[V]) find(b uint32) *slot[V] {
	if n.taken&(1<<b) == 0 {
		return nil
	}
	return &n.slots[n.place(b)]
}

// place returns where the slot of a branch is or would be.
func (n *node[V]) place(b uint32) int { return bits.OnesCount32(n.taken & (1<<b - 1)) }

// with returns the node with a value more, or with another value of its key.
func (n *node[V]) with(s slot[V], shift int, e editing) *node[V] {
	b := branch(s.key, shift)
	if n == nil {
		return &node[V]{size: 1, taken: 1 << b, slots: []slot[V]{s}}
	}
	there := n.find(b)
	if there == nil {
		return n.insert(b, s, e)
	}
	before, after := 1, s
	switch {
	case there.kid != nil:
		before = there.kid.size
		after = slot[V]{kid: there.kid.with(s, shift+branchBits, e)}
	case there.key != s.key:
		kid := (*node[V])(nil).with(*there, shift+branchBits, inPlace)
		after = slot[V]{kid: kid.with(s, shift+branchBits, inPlace)}
	}
	return n.replace(b, after, after.size()-before, e)
}

func (s *slot[V]) size() int {
	if s.kid != nil {
		return s.kid.size
	}
	return 1
}

func (n *node[V]) insert(b uint32, s slot[V], e editing) *node[V] {
	if e == clone {
		n = &node[V]{size: n.size, taken: n.taken, slots: append(make([]slot[V], 0, len(n.slots)+1), n.slots...)}
	}
	at := n.place(b)
	n.slots = append(n.slots, slot[V]{})
	copy(n.slots[at+1:], n.slots[at:])
	n.slots[at] = s
	n.taken |= 1 << b
	n.size++
	return n
}

func (n *node[V]) replace(b uint32, s slot[V], more int, e editing) *node[V] {
	if e == clone {
		n = &node[V]{size: n.size, taken: n.taken, slots: append([]slot[V](nil), n.slots...)}
	}
	n.slots[n.place(b)] = s
	n.size += more
	return n
}

// without returns the node without a key that it holds; nil if nothing is left.
func (n *node[V]) without(key uint32, shift int) *node[V] {
	b := branch(key, shift)
	if s := n.find(b); s.kid != nil {
		kid := s.kid.without(key, shift+branchBits)
		if kid.size == 1 {
			return n.replace(b, kid.only(), -1, clone)
		}
		return n.replace(b, slot[V]{kid: kid}, -1, clone)
	}
	if n.size == 1 {
		return nil
	}
	at := n.place(b)
	slots := make([]slot[V], 0, len(n.slots)-1)
	slots = append(append(slots, n.slots[:at]...), n.slots[at+1:]...)
	return &node[V]{size: n.size - 1, taken: n.taken &^ (1 << b), slots: slots}
}

// only returns the slot of the one value of a node.
func (n *node[V]) only() slot[V] {
	for n.slots[0].kid != nil {
		n = n.slots[0].kid
	}
	return n.slots[0]
}

// each calls yield for all values until it returns false, and reports whether it never did.
func (n *node[V]) each(yield func(uint32, *V) bool) bool {
	if n == nil {
		return true
	}
	for i := range n.slots {
		if s := &n.slots[i]; s.kid != nil && !s.kid.each(yield) || s.kid == nil && !yield(s.key, s.value) {
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
		for left := old.taken | now.taken; left != 0; left &= left - 1 {
			b := uint32(bits.TrailingZeros32(left))
			diffSlots(old.find(b), now.find(b), shift+branchBits, f)
		}
	}
}

func diffSlots[V any](old, now *slot[V], shift int, f func(key uint32, old, now *V)) {
	if old != nil && now != nil && old.kid == nil && now.kid == nil && old.key == now.key {
		if old.value != now.value {
			f(old.key, old.value, now.value)
		}
		return
	}
	diff(old.node(shift), now.node(shift), shift, f)
}

// node returns a slot as the node that begins at a shift.
func (s *slot[V]) node(shift int) *node[V] {
	switch {
	case s == nil:
		return nil
	case s.kid != nil:
		return s.kid
	}
	return (*node[V])(nil).with(*s, shift, inPlace)
}
