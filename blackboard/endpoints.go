package blackboard

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/pace"
	"github.com/embercove/embercove/route"
)

// EndpointTable holds the known state of endpoints for routing decisions.
type EndpointTable struct {
	mu    sync.RWMutex
	fleet *route.Fleet
}

func newEndpointTable() *EndpointTable { return &EndpointTable{fleet: route.NewFleet(nil)} }

// ApplyView switches to another view and keeps the state of endpoints that are in both. It returns the
// addresses at which a process has started since.
func (t *EndpointTable) ApplyView(v *config.View) (started []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fleet.SetView(v, time.Now())
}

// Learn stores a digest, whose AgeMillis is its age on arrival, unless a fresher one is known.
// It reports whether the digest was stored.
func (t *EndpointTable) Learn(d route.Digest, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fleet.UpdateDigest(d, now)
}

// Read calls f with the fleet. f must not keep or change its states, and may run concurrently.
func (t *EndpointTable) Read(f func(fleet *route.Fleet)) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	f(t.fleet)
}

// Find calls f with the state of an endpoint, if it exists. f must not keep or change it.
func (t *EndpointTable) Find(number uint32, f func(v *config.View, s *route.State)) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if s := t.fleet.Find(number); s != nil {
		f(t.fleet.View, s)
	}
}

// Update calls f to update the state of an endpoint, for what this host itself has just sent
// or received.
func (t *EndpointTable) Update(number uint32, f func(s *route.State)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.fleet.Find(number); s != nil {
		f(s)
	}
}

// ObserveLimit records the limit that an endpoint named in a response, and returns what it changes.
// now is by package clock.
func (t *EndpointTable) ObserveLimit(number uint32, now time.Time, report pace.Report) (c pace.Change) {
	t.Update(number, func(s *route.State) {
		c = s.Limit.Observe(now, report)
		s.LimitedUntil = time.Now().Add(s.Limit.PenaltyLeft(now))
		if c == pace.ChangeEnded {
			s.NoPermitUntil, s.RetryAt = time.Time{}, time.Time{}
		}
	})
	return c
}

// ObserveNotice records the other notices in an endpoint's response, besides its limit.
func (t *EndpointTable) ObserveNotice(number uint32, n route.Notice) (c route.NoticeChange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fleet.ObserveNotice(number, n)
}

// AdmitCall reports whether a call may be made to an endpoint, considering the backoff that it asked
// this host for.
func (t *EndpointTable) AdmitCall(number uint32, now time.Time) bool {
	admitted := true
	t.Update(number, func(s *route.State) { admitted = s.Notices.Admit(now) })
	return admitted
}

// SetCutOff excludes the endpoints of a failure domain until a time; the zero time includes
// them again.
func (t *EndpointTable) SetCutOff(domain string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fleet.SetCutOff(domain, until, time.Now())
}

// SetNoPath excludes the endpoints at an address until a time, as neither this host nor another one
// reaches them; the zero time includes them again.
func (t *EndpointTable) SetNoPath(address string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fleet.SetNoPath(address, until)
}

// SetOwn records whether this host owns an endpoint.
func (t *EndpointTable) SetOwn(number uint32, own bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fleet.SetOwned(number, own)
}

// DigestQuery selects digests.
type DigestQuery struct {
	Domain string        // only of this failure domain; empty: of all
	MaxAge time.Duration // only digests no older than this
	Max    int           // maximum number, drawn uniformly at random
	Want   func(number, ageMillis uint32) bool
}

// Digests returns the selected digests with their age. It scans only the endpoints of the
// failure domain, and allocates nothing for digests that aren't drawn.
func (t *EndpointTable) Digests(now time.Time, query DigestQuery) []route.Digest {
	t.mu.RLock()
	defer t.mu.RUnlock()
	states := t.fleet.All()
	if query.Domain != "" {
		states = t.fleet.InFailureDomain(query.Domain)
	}
	var drawn []*route.State
	seen := 0
	for s := range states {
		age := now.Sub(s.DigestAt)
		if s.DigestAt.IsZero() || age > query.MaxAge || !query.Want(s.Number, uint32(age.Milliseconds())) {
			continue
		}
		seen++
		if len(drawn) < query.Max {
			drawn = append(drawn, s)
		} else if i := rand.IntN(seen); i < query.Max {
			drawn[i] = s
		}
	}
	out := make([]route.Digest, len(drawn))
	for i, s := range drawn {
		out[i] = s.Digest
		out[i].AgeMillis = uint32(now.Sub(s.DigestAt).Milliseconds())
	}
	return out
}

// Drop discards all digests, after a pause of the process.
func (t *EndpointTable) Drop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fleet.DropDigests()
}
