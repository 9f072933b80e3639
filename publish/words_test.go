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

// wordStore holds what was published of some failure domains, one word a revision.
type wordStore struct {
	at     config.Position
	words  []word
	forgot config.Position // what was published up to here is only listed
	down   bool
}

// word is that a failure domain is to be emptied, or no longer; an empty domain stands
// for another change, of the document or of an endpoint.
type word struct {
	at       config.Position
	domain   string
	emptied  bool
	document bool
}

func (s *wordStore) say(w word) {
	s.at++
	w.at = s.at
	s.words = append(s.words, w)
}

// last returns the last word on a failure domain up to a revision.
func (s *wordStore) last(domain string, at config.Position) (last word) {
	for _, w := range s.words {
		if w.domain == domain && w.at <= at {
			last = w
		}
	}
	return last
}

func (s *wordStore) List(context.Context) (*State, error) {
	if s.down {
		return nil, errDown
	}
	out := &State{At: s.at, Endpoints: rows([]string{"a1"}, nil)}
	for _, d := range wordDomains {
		if w := s.last(d, s.at); w.emptied {
			out.Evacuated = append(out.Evacuated, config.Evacuation{Domain: d, Revision: w.at})
		}
	}
	return out, nil
}

func (s *wordStore) Watch(_ context.Context, after config.Position, _ time.Duration) (*Changes, error) {
	switch {
	case s.down:
		return nil, errDown
	case after < s.forgot:
		return nil, ErrForgotten
	}
	out := &Changes{At: s.at}
	for _, w := range s.words {
		switch {
		case w.at <= after:
		case w.document:
			out.Document = &Revision{Revision: uint64(w.at), Document: "d"}
		case w.domain == "":
			out.Changed = rows([]string{fmt.Sprintf("a%d", w.at)}, nil)
		case s.last(w.domain, s.at) != w:
		case w.emptied:
			out.Evacuated = append(out.Evacuated, config.Evacuation{Domain: w.domain, Revision: w.at})
		default:
			out.Returned = append(out.Returned, w.domain)
		}
	}
	return out, nil
}

func (s *wordStore) Close() {}

var wordDomains = []string{"d", "e", "f"}

const wordDocument = `{"failure_domains": [{"name": "d", "region": "r"}, {"name": "e", "region": "r"}], "targets": {"ttft_ms": 900, "tpot_ms": 10},
"pools": [{"name": "p", "memory_tokens": 9, "slots": 4, "link_bytes_per_second": 1}]}`

// wordHost is a host that follows the store and hears of peers.
type wordHost struct {
	board    *blackboard.Board
	follower *Follower
	listed   bool
	lazy     bool
	believed map[string]config.Position // the revision of the last word that it had in force
}

func newWordHost(s *wordStore, lazy bool) *wordHost {
	settings := &config.Settings{Host: "h", Domain: "d", Region: "r"}
	settings.SetDefaults()
	h := &wordHost{board: blackboard.New(settings), follower: NewFollower(s, 0, zap.NewNop()), lazy: lazy, believed: map[string]config.Position{}}
	if lazy { // the document comes later
		return h
	}
	h.document()
	return h
}

func (h *wordHost) document() { _, _ = h.board.Config.Offer(1, []byte(wordDocument)) }

// The sink of the host's follower.
func (h *wordHost) Offer(uint64, []byte, string) {}
func (h *wordHost) OfferRoster(r *config.Roster, _ string) {
	_, _ = h.board.Config.OfferRoster(r, time.Now())
}
func (h *wordHost) Roster() *config.Roster { return h.board.Config.Roster() }
func (h *wordHost) Eager() bool            { return !h.lazy }
func (h *wordHost) Relies() bool           { return false }
func (h *wordHost) Heard(_, _ time.Time)   {}
func (h *wordHost) HeardFor() (time.Duration, bool) {
	return 0, false
}

// follow makes one call to the store.
func (h *wordHost) follow() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // what is in between is not waited for
	if !h.listed {
		h.listed = h.follower.list(ctx, h) == nil
		return
	}
	h.listed = h.follower.watch(ctx, h) == nil
}

// told is what a peer answered to a host, on its way.
type told struct {
	to     *wordHost
	roster *config.RosterList
	change *config.RosterChange
}

func (m told) arrive() {
	var r *config.Roster
	if m.roster != nil {
		r = m.roster.Roster()
	}
	if m.change != nil {
		r = m.to.board.Config.After(m.change)
	}
	if r != nil {
		m.to.OfferRoster(r, "peer")
	}
}

// TestWords publishes words in random orders, has hosts hear them from the store and of
// each other, late and in other orders, and checks that none ever goes back to an older
// one, and that all agree with the store once they have asked it.
func TestWords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &wordStore{at: 1}
		hosts := []*wordHost{newWordHost(store, false), newWordHost(store, true), newWordHost(store, true)}
		var mail []told
		pick := func(label string) *wordHost { return hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, label)] }
		actions := map[string]func(*rapid.T){
			"say": func(t *rapid.T) {
				store.say(word{domain: rapid.SampledFrom(wordDomains).Draw(t, "domain"), emptied: rapid.Bool().Draw(t, "emptied")})
			},
			"change":   func(t *rapid.T) { store.say(word{document: rapid.Bool().Draw(t, "document")}) },
			"forget":   func(*rapid.T) { store.forgot = store.at },
			"down":     func(t *rapid.T) { store.down = rapid.Bool().Draw(t, "down") },
			"follow":   func(*rapid.T) { pick("host").follow() },
			"document": func(*rapid.T) { pick("host").document() },
			"lapse":    func(*rapid.T) { pick("host").board.Config.DropLapsed(time.Now().Add(time.Hour)) },
			"ask": func(*rapid.T) {
				from, to := pick("from"), pick("to")
				m := told{to: to}
				m.roster, m.change = from.board.Config.RosterSince(to.board.Config.RosterRevision(), time.Now())
				mail = append(mail, m)
			},
			"arrive": func(t *rapid.T) {
				if len(mail) == 0 {
					return
				}
				i := rapid.IntRange(0, len(mail)-1).Draw(t, "message")
				mail[i].arrive()
				mail = slices.Delete(mail, i, i+1)
			},
			"restart": func(t *rapid.T) {
				i := rapid.IntRange(0, len(hosts)-1).Draw(t, "host")
				hosts[i] = newWordHost(store, hosts[i].lazy)
			},
			"": func(t *rapid.T) {
				for _, h := range hosts {
					h.judge(t, store)
				}
			},
		}
		t.Repeat(actions)
		store.down = false
		for i, h := range hosts {
			for range 3 {
				h.follow()
			}
			h.document()
			for _, d := range wordDomains {
				w := store.last(d, store.at)
				if e, on := h.board.Config.View().Evacuated[d]; on != w.emptied || on && e.Revision != w.at {
					t.Errorf("host %d has %q emptied: %v, want %v", i, d, on, w.emptied)
				}
			}
		}
	})
}

// judge checks what a host has in force against what was published.
func (h *wordHost) judge(t *rapid.T, s *wordStore) {
	r, v := h.board.Config.Roster(), h.board.Config.View()
	if r == nil || v == nil {
		return
	}
	for _, d := range wordDomains {
		w := s.last(d, r.Revision)
		e, on := v.Evacuated[d]
		if on != w.emptied || on && e.Revision != w.at {
			t.Fatalf("%q emptied: %v (%+v) at %d, want as published at %d: %v", d, on, e, r.Revision, w.at, w.emptied)
		}
		if w.at < h.believed[d] {
			t.Fatalf("%q: the word of %d was in force after that of %d", d, w.at, h.believed[d])
		}
		h.believed[d] = w.at
	}
}

// TestWord plays single words, with what each host does, and states what host 1 has
// emptied at the end. Host 0 finds out soon; host 1 isn't eager.
func TestWord(t *testing.T) {
	say := func(domain string, emptied bool) func(s *wordStore, _ []*wordHost) {
		return func(s *wordStore, _ []*wordHost) { s.say(word{domain: domain, emptied: emptied}) }
	}
	follow := func(i int) func(s *wordStore, hosts []*wordHost) {
		return func(_ *wordStore, hosts []*wordHost) { hosts[i].follow() }
	}
	tell := func(_ *wordStore, hosts []*wordHost) {
		m := told{to: hosts[1]}
		m.roster, m.change = hosts[0].board.Config.RosterSince(hosts[1].board.Config.RosterRevision(), time.Now())
		m.arrive()
	}
	forget := func(s *wordStore, _ []*wordHost) { s.forgot = s.at }
	cases := []struct {
		name  string
		steps []func(s *wordStore, hosts []*wordHost)
		want  string
	}{
		{"listed", []func(*wordStore, []*wordHost){say("d", true), follow(1)}, "map[d:{d 2}]"},
		{"watched, and nothing else", []func(*wordStore, []*wordHost){follow(1), say("d", true), follow(1)}, "map[d:{d 2}]"},
		{"taken back, and nothing else", []func(*wordStore, []*wordHost){say("d", true), follow(1), say("d", false), follow(1)}, "map[]"},
		{"taken back and published again between two watches", []func(*wordStore, []*wordHost){say("d", true), follow(1), say("d", false), say("d", true),
			follow(1)}, "map[d:{d 4}]"},
		{"told by a peer, and then an endpoint changes", []func(*wordStore, []*wordHost){follow(0), follow(1), say("d", true), follow(0), tell, say("", false),
			follow(1)}, "map[d:{d 2}]"},
		{"a peer told of its end, and then an endpoint changes", []func(*wordStore, []*wordHost){say("d", true), follow(0), follow(1), say("d", false), follow(0), tell,
			say("", false), follow(1)}, "map[]"},
		{"a peer tells an older word", []func(*wordStore, []*wordHost){say("d", true), follow(0), say("d", false), follow(1), tell}, "map[]"},
		{"the store forgot, and meanwhile it was taken back", []func(*wordStore, []*wordHost){say("d", true), follow(1), say("d", false), forget, follow(1), follow(1)}, "map[]"},
		{"the store forgot, and meanwhile it began", []func(*wordStore, []*wordHost){follow(1), say("d", true), say("", false), forget, follow(1), follow(1)}, "map[d:{d 2}]"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			store := &wordStore{at: 1}
			hosts := []*wordHost{newWordHost(store, false), newWordHost(store, true)}
			for _, step := range tc.steps {
				step(store, hosts)
			}
			hosts[1].document()
			if got := fmt.Sprint(hosts[1].board.Config.View().Evacuated); got != tc.want {
				t.Errorf("%s, want %s", got, tc.want)
			}
		})
	}
}
