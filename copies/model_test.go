package copies

import "testing"

// chunks is the length of the modeled answer.
const chunks = 3

// world is the state of a request that decodes at one engine and is replicated to another, with the
// entry host and the caller. Links deliver in order; what was sent before a cut may still arrive.
type world struct {
	decoded     int  // chunks that the first engine has produced
	sent        int  // of these, on their way to the entry host or received by it
	crashed     bool // the first engine has crashed, and its stream is cut
	unreachable bool // the first engine continues, but nobody can reach it
	replicated  int  // chunks that the replica covers; -1: there is no replica
	finished    bool // the first engine has produced the last chunk, and the replica is freed

	received   int  // chunks that the caller has received, in order
	probed     bool // the entry host is probing the first engine
	closed     bool // the entry host has closed its connection to the first engine
	aborted    bool // the first engine has noticed that and aborts the run
	continued  bool // the second engine was called to continue
	refused    bool // the second engine had no replica
	next       int  // chunks up to which the second engine has produced, counted from the start of the answer
	callerGone bool // the caller has disconnected
	done       bool // the entry host has completed or cut the answer
}

// running reports whether the first engine is running the request and reachable.
func (w world) running() bool {
	return !w.crashed && !w.unreachable && !w.aborted && w.decoded < chunks
}

// steps lists the possible next states.
func (w world) steps() (out []world) {
	step := func(can bool, f func(n *world)) {
		if can && !w.done {
			n := w
			f(&n)
			out = append(out, n)
		}
	}
	step(!w.crashed && !w.aborted && w.decoded < chunks, func(n *world) {
		n.decoded++
		n.finished = n.decoded == chunks
	})
	step(!w.crashed && !w.unreachable && w.sent < w.decoded, func(n *world) { n.sent++ })
	step(!w.crashed && !w.aborted && !w.finished && w.replicated < w.decoded, func(n *world) { n.replicated = n.decoded })
	step(!w.crashed && w.decoded < chunks, func(n *world) { n.crashed = true })
	step(!w.crashed && !w.unreachable, func(n *world) { n.unreachable = true })
	step(w.unreachable, func(n *world) { n.unreachable, n.aborted = false, n.closed }) // it learns of the closed connection before anything else
	step(w.closed && !w.unreachable, func(n *world) { n.aborted = true })
	step(!w.callerGone, func(n *world) { n.callerGone = true })
	step(w.callerGone, func(n *world) { n.closed, n.done = true, true })
	step(!w.continued && !w.closed && w.received < w.sent, func(n *world) { n.received++; n.probed = false })
	step(!w.continued && w.received == chunks, func(n *world) { n.done = true })
	step(!w.continued && !w.closed && !w.probed && w.received == w.sent, func(n *world) { n.probed = true })
	step(w.probed && !w.unreachable && !w.crashed, func(n *world) { n.probed = false }) // it responds
	step(w.probed && (w.unreachable || w.crashed), func(n *world) { n.closed, n.probed = true, false; n.continueAtReplica(false) })
	step(!w.continued && !w.closed && w.crashed && w.received == w.sent && w.received < chunks, func(n *world) { n.closed = true; n.continueAtReplica(false) })
	// The entry host abandons the engine because of its response, while the engine continues.
	step(!w.continued && !w.closed && !w.crashed && w.received > 0 && w.received < chunks, func(n *world) { n.closed = true; n.continueAtReplica(true) })
	step(w.continued && !w.refused && w.next < chunks, func(n *world) { n.next++; n.received++ })
	step(w.continued && w.next == chunks, func(n *world) { n.done = true })
	return out
}

// continueAtReplica is what the entry host does after it has abandoned the first engine.
func (w *world) continueAtReplica(mayRun bool) {
	if !(End{Replicated: true, CallerGone: w.callerGone, MayHaveRun: true, MayStillRun: mayRun, DecodeTime: firstPartDelay}).CanContinue() {
		w.done = true
		return
	}
	w.continued, w.next = true, w.received
	if w.replicated < 0 || w.finished { // without a replica the second engine refuses, and nothing runs
		w.refused, w.done = true, true
	}
}

// TestModel explores every order of actions of the engines, the replica, the entry host and the
// caller. The request must never run at two reachable engines at once, the caller must get each
// chunk once and in order, and an answer reported as complete must be complete.
func TestModel(t *testing.T) {
	seen := map[world]bool{}
	todo := []world{{replicated: -1}}
	continuedWhole, whole := 0, 0
	for len(todo) > 0 {
		w := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		if seen[w] {
			continue
		}
		seen[w] = true
		if w.continued && !w.refused && w.running() {
			t.Fatalf("running at both engines: %+v", w)
		}
		if w.received > chunks || w.continued && w.next != w.received {
			t.Fatalf("chunks duplicated or missing: %+v", w)
		}
		if w.continued && !w.refused && w.next == chunks && w.done && !w.callerGone {
			continuedWhole++
		}
		if w.done && w.received == chunks {
			whole++
		}
		todo = append(todo, w.steps()...)
	}
	if continuedWhole == 0 || whole == 0 {
		t.Errorf("of %d states %d are complete, and %d continued from a replica", len(seen), whole, continuedWhole)
	}
}
