package copies

import "testing"

// pieces of the answer that the model plays.
const pieces = 3

// world is an answer that is written by one engine and copied to another, with all that
// may happen between them, the entry host and the caller. Links keep the order of what
// they carry; what was sent before a cut may still arrive.
type world struct {
	wrote  int  // pieces that the first engine has made
	sent   int  // of them on their way to the entry host or there
	down   bool // the first engine has ended, and its stream is cut
	dark   bool // it works on, and nobody reaches it
	copied int  // pieces that the copy has; -1: it has none
	ended  bool // the first engine made the last piece: its copy is freed

	got    int  // pieces that the caller has, in order
	asked  bool // the entry host asks the first engine whether it lives
	closed bool // the entry host has closed its connection to the first engine
	seen   bool // the first engine has seen that, and ends the run
	second bool // the second engine was called
	refuse bool // it had no copy
	next   int  // pieces that the second engine has made, counted from the first of all
	left   bool // the caller
	done   bool // the entry host has answered or cut the answer
}

// running reports whether the first engine works where the entry host reaches it.
func (w world) running() bool { return !w.down && !w.dark && !w.seen && w.wrote < pieces }

// steps lists the worlds that may follow.
func (w world) steps() (out []world) {
	step := func(can bool, f func(n *world)) {
		if can && !w.done {
			n := w
			f(&n)
			out = append(out, n)
		}
	}
	step(!w.down && !w.seen && w.wrote < pieces, func(n *world) {
		n.wrote++
		n.ended = n.wrote == pieces
	})
	step(!w.down && !w.dark && w.sent < w.wrote, func(n *world) { n.sent++ })
	step(!w.down && !w.seen && !w.ended && w.copied < w.wrote, func(n *world) { n.copied = n.wrote })
	step(!w.down && w.wrote < pieces, func(n *world) { n.down = true })
	step(!w.down && !w.dark, func(n *world) { n.dark = true })
	step(w.dark, func(n *world) { n.dark, n.seen = false, n.closed }) // it is told of what was closed before all else
	step(w.closed && !w.dark, func(n *world) { n.seen = true })
	step(!w.left, func(n *world) { n.left = true })
	step(w.left, func(n *world) { n.closed, n.done = true, true })
	step(!w.second && !w.closed && w.got < w.sent, func(n *world) { n.got++; n.asked = false })
	step(!w.second && w.got == pieces, func(n *world) { n.done = true })
	step(!w.second && !w.closed && !w.asked && w.got == w.sent, func(n *world) { n.asked = true })
	step(w.asked && !w.dark && !w.down, func(n *world) { n.asked = false }) // it lives
	step(w.asked && (w.dark || w.down), func(n *world) { n.closed, n.asked = true, false; n.goOn(false) })
	step(!w.second && !w.closed && w.down && w.got == w.sent && w.got < pieces, func(n *world) { n.closed = true; n.goOn(false) })
	// The entry host gives the engine up over what it said, while it works on.
	step(!w.second && !w.closed && !w.down && w.got > 0 && w.got < pieces, func(n *world) { n.closed = true; n.goOn(true) })
	step(w.second && !w.refuse && w.next < pieces, func(n *world) { n.next++; n.got++ })
	step(w.second && w.next == pieces, func(n *world) { n.done = true })
	return out
}

// goOn is what the entry host does once it has given the first engine up.
func (w *world) goOn(works bool) {
	if !(End{Copied: true, CallerGone: w.left, MayHaveRun: true, Works: works, Grown: FirstPart}).GoesOn() {
		w.done = true
		return
	}
	w.second, w.next = true, w.got
	if w.copied < 0 || w.ended { // a copy that is gone is refused, and nothing runs
		w.refuse, w.done = true, true
	}
}

// TestModel plays every order of what engines, the copy, the entry host and the caller
// may do: the request is never at work at two engines that are in reach, the caller gets
// each piece once and in order, and an answer that is told to be whole is.
func TestModel(t *testing.T) {
	seen := map[world]bool{}
	todo := []world{{copied: -1}}
	wentOn, whole := 0, 0
	for len(todo) > 0 {
		w := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		if seen[w] {
			continue
		}
		seen[w] = true
		if w.second && !w.refuse && w.running() {
			t.Fatalf("at work at both engines: %+v", w)
		}
		if w.got > pieces || w.second && w.next != w.got {
			t.Fatalf("pieces twice or left out: %+v", w)
		}
		if w.second && !w.refuse && w.next == pieces && w.done && !w.left {
			wentOn++
		}
		if w.done && w.got == pieces {
			whole++
		}
		todo = append(todo, w.steps()...)
	}
	if wentOn == 0 || whole == 0 {
		t.Errorf("of %d states %d are whole, and %d went on from a copy", len(seen), whole, wentOn)
	}
}
