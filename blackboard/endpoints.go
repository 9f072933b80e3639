package blackboard

import (
	"sync"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/pace"
	"github.com/embercove/embercove/route"
)

// EndpointTable holds the digests of endpoints, in the order of the
// configuration's list, ready for route to decide from.
type EndpointTable struct {
	mu       sync.RWMutex
	view     *config.View
	states   []route.State
	byNumber map[uint32]int
	cutOff   map[string]time.Time // until when failure domains count as cut off
}

func newEndpointTable() *EndpointTable {
	return &EndpointTable{byNumber: map[uint32]int{}, cutOff: map[string]time.Time{}}
}

// Fit lays the table out for a revision, keeping what is known of endpoints
// that stay.
func (t *EndpointTable) Fit(v *config.View) {
	t.mu.RLock()
	same := t.view == v
	t.mu.RUnlock()
	if same {
		return
	}
	states := route.Layout(v)
	byNumber := make(map[uint32]int, len(states))
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range states {
		n := states[i].Number
		byNumber[n] = i
		if j, ok := t.byNumber[n]; ok {
			old := &t.states[j]
			if old.Role == states[i].Role { // else it tells of other work
				states[i].Digest, states[i].At = old.Digest, old.At
			}
			states[i].Own, states[i].Sent, states[i].Seen = old.Own, old.Sent, old.Seen
			states[i].MaybeCold, states[i].NoStart, states[i].Back = old.MaybeCold, old.NoStart, old.Back
			states[i].Limit, states[i].LimitedUntil = old.Limit, old.LimitedUntil
			states[i].LimitTold, states[i].LimitNews = old.LimitTold, old.LimitNews
			states[i].Limit.Restarted(states[i].Spec.Born)
			if old.Evacuated && !states[i].Evacuated {
				states[i].Suspect(time.Now())
			}
		}
		states[i].CutOff = t.cutOff[states[i].Spec.Domain]
	}
	t.view, t.states, t.byNumber = v, states, byNumber
}

// Learn takes in a digest that was age old when it came; the fresher one
// stays. It reports whether the digest was taken.
func (t *EndpointTable) Learn(d route.Digest, now time.Time) bool {
	at := now.Add(-time.Duration(d.AgeMillis) * time.Millisecond)
	t.mu.Lock()
	defer t.mu.Unlock()
	i, ok := t.byNumber[d.Number]
	if !ok || !at.After(t.states[i].At) {
		return false
	}
	if d.Heads == nil {
		d.Heads = t.states[i].Digest.Heads
	}
	t.states[i].Digest, t.states[i].At = d, at
	return true
}

// Read calls f with the states. f must not keep or change them; it may be
// called by many at once.
func (t *EndpointTable) Read(f func(v *config.View, states []route.State)) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	f(t.view, t.states)
}

// Find calls f with the state of an endpoint, if there is one. f must not keep or change it.
func (t *EndpointTable) Find(number uint32, f func(v *config.View, s *route.State)) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if i, ok := t.byNumber[number]; ok {
		f(t.view, &t.states[i])
	}
}

// Touch changes one state, for what this host itself has just sent.
func (t *EndpointTable) Touch(number uint32, f func(s *route.State)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i, ok := t.byNumber[number]; ok {
		f(&t.states[i])
	}
}

// Hear takes in what an answer of an endpoint said of its limit, and returns what that changes.
// now is by package clock.
func (t *EndpointTable) Hear(number uint32, now time.Time, w pace.Word) (c pace.Change) {
	t.Touch(number, func(s *route.State) {
		c = s.Limit.Hear(now, w)
		s.LimitedUntil = time.Now().Add(s.Limit.Fresh(now))
		if c == pace.ChangeEnded {
			s.NoStart, s.Back = time.Time{}, time.Time{}
		}
	})
	return c
}

// SetCutOff sets until when a failure domain's endpoints are out of the
// question; the zero time ends it.
func (t *EndpointTable) SetCutOff(domain string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cutOff[domain] = until
	for i := range t.states {
		if t.states[i].Spec.Domain == domain {
			t.states[i].CutOff = until
			if until.IsZero() {
				t.states[i].Suspect(time.Now())
			}
		}
	}
}

// SetOwn marks which endpoints this host owns.
func (t *EndpointTable) SetOwn(own func(number uint32) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.states {
		t.states[i].Own = own(t.states[i].Number)
	}
}

// Digests returns the digests that are younger than maxAge, with their age.
func (t *EndpointTable) Digests(now time.Time, maxAge time.Duration, want func(s *route.State) bool) []route.Digest {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]route.Digest, 0, len(t.states))
	for i := range t.states {
		s := &t.states[i]
		age := now.Sub(s.At)
		if s.At.IsZero() || age > maxAge || !want(s) {
			continue
		}
		d := s.Digest
		d.AgeMillis = uint32(age.Milliseconds())
		out = append(out, d)
	}
	return out
}

// Drop forgets every digest, after a pause of the process.
func (t *EndpointTable) Drop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.states {
		t.states[i].Digest = route.Digest{Number: t.states[i].Number, Heads: t.states[i].Digest.Heads}
		t.states[i].At = time.Time{}
	}
}
