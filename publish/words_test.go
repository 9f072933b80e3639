package publish

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
)

// evacuationStore holds the published evacuation events of some failure domains, one per
// revision.
type evacuationStore struct {
	at          config.Position
	events      []event
	compactedAt config.Position // events up to here are available by listing only
	down        bool
}

// event is the start or the end of a failure domain's evacuation. An empty domain stands for
// another change, of the document or of an endpoint.
type event struct {
	at        config.Position
	domain    string
	evacuated bool
	document  bool
}

func (s *evacuationStore) publish(w event) {
	s.at++
	w.at = s.at
	s.events = append(s.events, w)
}

// last returns the last event of a failure domain up to a revision.
func (s *evacuationStore) last(domain string, at config.Position) (last event) {
	for _, w := range s.events {
		if w.domain == domain && w.at <= at {
			last = w
		}
	}
	return last
}

func (s *evacuationStore) List(context.Context) (*State, error) {
	if s.down {
		return nil, errUnavailable
	}
	out := &State{At: s.at, Endpoints: rows([]string{"a1"}, nil)}
	for _, d := range eventDomains {
		if w := s.last(d, s.at); w.evacuated {
			out.Evacuated = append(out.Evacuated, config.Evacuation{Domain: d, Revision: w.at})
		}
	}
	return out, nil
}

func (s *evacuationStore) Watch(_ context.Context, after config.Position, _ time.Duration) (*Changes, error) {
	switch {
	case s.down:
		return nil, errUnavailable
	case after < s.compactedAt:
		return nil, ErrCompacted
	}
	out := &Changes{At: s.at}
	for _, w := range s.events {
		switch {
		case w.at <= after:
		case w.document:
			out.Document = &Revision{Revision: uint64(w.at), Document: "d"}
		case w.domain == "":
			out.Changed = rows([]string{fmt.Sprintf("a%d", w.at)}, nil)
		case s.last(w.domain, s.at) != w:
		case w.evacuated:
			out.Evacuated = append(out.Evacuated, config.Evacuation{Domain: w.domain, Revision: w.at})
		default:
			out.Returned = append(out.Returned, w.domain)
		}
	}
	return out, nil
}

func (s *evacuationStore) Close() {}

var eventDomains = []string{"d", "e", "f"}

const eventDocument = `{"failure_domains": [{"name": "d", "region": "r"}, {"name": "e", "region": "r"}], "targets": {"ttft_ms": 900, "tpot_ms": 10},
"pools": [{"name": "p", "memory_tokens": 9, "slots": 4, "link_bytes_per_second": 1}]}`

// eventHost is a host that follows the store and receives rosters from peers.
type eventHost struct {
	board    *blackboard.Board
	follower *Follower
	listed   bool
	lazy     bool
	seen     map[string]config.Position // revision of the last event that was in force
}

func newEventHost(s *evacuationStore, lazy bool) *eventHost {
	settings := &config.Settings{Host: "h", Domain: "d", Region: "r"}
	settings.SetDefaults()
	h := &eventHost{board: blackboard.New(settings), follower: NewFollower(s, 0, zap.NewNop()), lazy: lazy, seen: map[string]config.Position{}}
	if lazy { // the document arrives later
		return h
	}
	h.applyDocument()
	return h
}

func (h *eventHost) applyDocument() { _, _ = h.board.Config.Offer(1, []byte(eventDocument)) }

// The methods of Sink, for the host's follower.
func (h *eventHost) Offer(uint64, []byte, string) {}
func (h *eventHost) OfferRoster(r *config.Roster, _ string) {
	_, _ = h.board.Config.OfferRoster(r, time.Now())
}
func (h *eventHost) Roster() *config.Roster   { return h.board.Config.Roster() }
func (h *eventHost) Eager() bool              { return !h.lazy }
func (h *eventHost) ReliesOnPeers() bool      { return false }
func (h *eventHost) Confirmed(_, _ time.Time) {}
func (h *eventHost) ConfirmedAge() (time.Duration, bool) {
	return 0, false
}

// follow makes one call to the store.
func (h *eventHost) follow() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // don't wait for the pauses in between
	if !h.listed {
		h.listed = h.follower.list(ctx, h) == nil
		return
	}
	h.listed = h.follower.watch(ctx, h) == nil
}

// peerAnswer is a peer's answer to a host, in transit.
type peerAnswer struct {
	receiver *eventHost
	roster   *config.RosterList
	change   *config.RosterChange
}

func (m peerAnswer) arrive() {
	var r *config.Roster
	if m.roster != nil {
		r = m.roster.Roster()
	}
	if m.change != nil {
		r = m.receiver.board.Config.ApplyChange(m.change)
	}
	if r != nil {
		m.receiver.OfferRoster(r, "peer")
	}
}

// TestWords publishes evacuation events in random order. Hosts receive them from the store and
// from each other, late and out of order. No host may ever return to an older event, and all must
// agree with the store once they have called it.
func TestWords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &evacuationStore{at: 1}
		hosts := []*eventHost{newEventHost(store, false), newEventHost(store, true), newEventHost(store, true)}
		var inFlight []peerAnswer
		pick := func(label string) *eventHost { return hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, label)] }
		actions := map[string]func(*rapid.T){
			"say": func(t *rapid.T) {
				store.publish(event{domain: rapid.SampledFrom(eventDomains).Draw(t, "domain"), evacuated: rapid.Bool().Draw(t, "emptied")})
			},
			"change":   func(t *rapid.T) { store.publish(event{document: rapid.Bool().Draw(t, "document")}) },
			"forget":   func(*rapid.T) { store.compactedAt = store.at },
			"down":     func(t *rapid.T) { store.down = rapid.Bool().Draw(t, "down") },
			"follow":   func(*rapid.T) { pick("host").follow() },
			"document": func(*rapid.T) { pick("host").applyDocument() },
			"lapse":    func(*rapid.T) { pick("host").board.Config.DropExpired(time.Now().Add(time.Hour)) },
			"ask": func(*rapid.T) {
				from, to := pick("from"), pick("to")
				m := peerAnswer{receiver: to}
				m.roster, m.change = from.board.Config.RosterSince(to.board.Config.RosterRevision(), time.Now())
				inFlight = append(inFlight, m)
			},
			"arrive": func(t *rapid.T) {
				if len(inFlight) == 0 {
					return
				}
				i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "message")
				inFlight[i].arrive()
				inFlight = slices.Delete(inFlight, i, i+1)
			},
			"restart": func(t *rapid.T) {
				i := rapid.IntRange(0, len(hosts)-1).Draw(t, "host")
				hosts[i] = newEventHost(store, hosts[i].lazy)
			},
			"": func(t *rapid.T) {
				for _, h := range hosts {
					h.check(t, store)
				}
			},
		}
		t.Repeat(actions)
		store.down = false
		for i, h := range hosts {
			for range 3 {
				h.follow()
			}
			h.applyDocument()
			for _, d := range eventDomains {
				w := store.last(d, store.at)
				if e, on := h.board.Config.View().Evacuated[d]; on != w.evacuated || on && e.Revision != w.at {
					t.Errorf("host %d has %q evacuated: %v, want %v", i, d, on, w.evacuated)
				}
			}
		}
	})
}

// check compares what a host has in force with what was published.
func (h *eventHost) check(t *rapid.T, s *evacuationStore) {
	r, v := h.board.Config.Roster(), h.board.Config.View()
	if r == nil || v == nil {
		return
	}
	for _, d := range eventDomains {
		w := s.last(d, r.Revision)
		e, on := v.Evacuated[d]
		if on != w.evacuated || on && e.Revision != w.at {
			t.Fatalf("%q evacuated: %v (%+v) at %d, want as published at %d: %v", d, on, e, r.Revision, w.at, w.evacuated)
		}
		if w.at < h.seen[d] {
			t.Fatalf("%q: the event of %d was in force after that of %d", d, w.at, h.seen[d])
		}
		h.seen[d] = w.at
	}
}

// TestWord plays short sequences of evacuation events and of what two hosts do, and checks which
// evacuations host 1 has in force at the end. Host 0 is eager, host 1 isn't.
func TestWord(t *testing.T) {
	publish := func(domain string, emptied bool) func(s *evacuationStore, _ []*eventHost) {
		return func(s *evacuationStore, _ []*eventHost) { s.publish(event{domain: domain, evacuated: emptied}) }
	}
	follow := func(i int) func(s *evacuationStore, hosts []*eventHost) {
		return func(_ *evacuationStore, hosts []*eventHost) { hosts[i].follow() }
	}
	sendRoster := func(_ *evacuationStore, hosts []*eventHost) {
		m := peerAnswer{receiver: hosts[1]}
		m.roster, m.change = hosts[0].board.Config.RosterSince(hosts[1].board.Config.RosterRevision(), time.Now())
		m.arrive()
	}
	compact := func(s *evacuationStore, _ []*eventHost) { s.compactedAt = s.at }
	cases := []struct {
		name  string
		steps []func(s *evacuationStore, hosts []*eventHost)
		want  string
	}{
		{"listed", []func(*evacuationStore, []*eventHost){publish("d", true), follow(1)}, "map[d:{d 2}]"},
		{"watched, no other change", []func(*evacuationStore, []*eventHost){follow(1), publish("d", true), follow(1)}, "map[d:{d 2}]"},
		{"ended, no other change", []func(*evacuationStore, []*eventHost){publish("d", true), follow(1), publish("d", false), follow(1)}, "map[]"},
		{"ended and published again between two watches", []func(*evacuationStore, []*eventHost){publish("d", true), follow(1), publish("d", false), publish("d", true),
			follow(1)}, "map[d:{d 4}]"},
		{"reported by a peer, then an endpoint changes", []func(*evacuationStore, []*eventHost){follow(0), follow(1), publish("d", true), follow(0), sendRoster, publish("", false),
			follow(1)}, "map[d:{d 2}]"},
		{"a peer reports its end, then an endpoint changes", []func(*evacuationStore, []*eventHost){publish("d", true), follow(0), follow(1), publish("d", false), follow(0), sendRoster,
			publish("", false), follow(1)}, "map[]"},
		{"a peer sends an older roster", []func(*evacuationStore, []*eventHost){publish("d", true), follow(0), publish("d", false), follow(1), sendRoster}, "map[]"},
		{"the store dropped its history, and meanwhile it ended", []func(*evacuationStore, []*eventHost){publish("d", true), follow(1), publish("d", false), compact, follow(1), follow(1)}, "map[]"},
		{"the store dropped its history, and meanwhile it began", []func(*evacuationStore, []*eventHost){follow(1), publish("d", true), publish("", false), compact, follow(1), follow(1)}, "map[d:{d 2}]"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			store := &evacuationStore{at: 1}
			hosts := []*eventHost{newEventHost(store, false), newEventHost(store, true)}
			for _, step := range tc.steps {
				step(store, hosts)
			}
			hosts[1].applyDocument()
			if got := fmt.Sprint(hosts[1].board.Config.View().Evacuated); got != tc.want {
				t.Errorf("%s, want %s", got, tc.want)
			}
		})
	}
}
