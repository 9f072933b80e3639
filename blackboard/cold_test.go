package blackboard

import (
	"testing"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/invariant"
	"github.com/embercove/embercove/route"
)

const coldDocument = `{"failure_domains": [{"name": "d", "region": "r"}, {"name": "own", "region": "r"}], "targets": {"ttft_ms": 900, "tpot_ms": 10},
"pools": [{"name": "p", "cold_per_s": 21, "cold_start_ms": 3000}],
"routes": [{"name": "x", "host": "h", "path_prefix": "/", "pools": [{"pool": "p", "weight": 1}]}]}`

func coldEndpoint(millis int) config.Endpoint {
	return config.Endpoint{Name: "e", Address: "10.0.0.1:1", Domain: "d", Pool: "p", Role: config.Service, ColdMillis: millis}
}

// TestColdRoster sends the registrations of a cold endpoint to one host by the store and to a second
// host by the first. It checks until when both consider the endpoint cold, and that the second is
// sent only real changes, not every heartbeat.
func TestColdRoster(t *testing.T) {
	const ahead = time.Hour // of the second host's clock
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	one, other := newConfigTable(new(invariant.Set)), newConfigTable(new(invariant.Set))
	for i, tc := range []struct {
		at, left int // ms
		until    int // ms by the first host's clock
		sent     bool
	}{
		{0, 3000, 3000, true},
		{1200, 1800, 3000, false},    // the next heartbeat says the same
		{1300, 1690, 2990, false},    // and one that was delayed
		{2400, 0, 0, true},           // warm earlier than announced
		{5000, 3000, 8000, true},     // cold again
		{6000, 3000, 9000, true},     // restarted within a heartbeat
		{12_000, 3000, 15_000, true}, // restarted, and the warm state was never reported
	} {
		at := now.Add(config.Millis(tc.at))
		r := &config.RosterList{Revision: config.Position(i + 1), Endpoints: []config.Endpoint{coldEndpoint(tc.left).WithLocalColdTime(at)}}
		if _, err := one.OfferRoster(r.Roster(), at); err != nil {
			t.Fatal(err)
		}
		later := at.Add(100 * time.Millisecond)
		list, change := one.RosterSince(other.RosterRevision(), later)
		sent := list != nil
		var full *config.Roster
		if list != nil {
			full = list.Roster()
		}
		if change != nil {
			sent = len(change.Changed) > 0
			full = other.ApplyChange(change)
		}
		if sent != tc.sent {
			t.Errorf("at %d ms: sent %v, want %v", tc.at, sent, tc.sent)
		}
		if _, err := other.OfferRoster(full, later.Add(ahead)); err != nil {
			t.Fatal(err)
		}
		for k, table := range []*ConfigTable{one, other} {
			got, want := table.Roster().Endpoints.Get(config.NameNumber(coldEndpoint(0).Name)).ColdUntil, now.Add(config.Millis(tc.until))
			if tc.until == 0 {
				want = time.Time{}
			}
			if k == 1 && tc.until != 0 {
				want = want.Add(ahead)
			}
			if got.Sub(want).Abs() > time.Duration(k)*50*time.Millisecond {
				t.Errorf("at %d ms host %d considers it cold until %s, want %s", tc.at, k, got, want)
			}
		}
	}
}

// TestSuspected checks that endpoints count as cold for their cold start time after their failure
// domain was evacuated or cut off, because they may have restarted unnoticed. A new view must not
// reset this.
func TestSuspected(t *testing.T) {
	for _, tc := range []struct {
		name  string
		leave func(b *Board)
		back  func(b *Board)
	}{
		{"cut off", func(b *Board) { b.Endpoints.SetCutOff("d", time.Now().Add(time.Hour)) }, func(b *Board) { b.Endpoints.SetCutOff("d", time.Time{}) }},
		{"evacuated", func(b *Board) {
			b.Endpoints.Update(route.Number("e"), func(s *route.State) { s.Evacuated = true })
		}, func(*Board) {}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := &config.Settings{Host: "h", Domain: "own", Region: "r"}
			s.SetDefaults()
			b := New(s)
			if _, err := b.Config.Offer(1, []byte(coldDocument)); err != nil {
				t.Fatal(err)
			}
			apply := func(revision config.Position) {
				if _, err := b.Config.OfferRoster((&config.RosterList{Revision: revision, Endpoints: []config.Endpoint{coldEndpoint(0)}}).Roster(), time.Now()); err != nil {
					t.Fatal(err)
				}
				b.Endpoints.ApplyView(b.Config.View())
			}
			cold := func(in time.Duration) (is bool) {
				b.Endpoints.Find(route.Number("e"), func(_ *config.View, s *route.State) { is = s.IsCold(time.Now().Add(in)) })
				return is
			}
			apply(1)
			if cold(0) {
				t.Error("cold before anything happened")
			}
			tc.leave(b)
			tc.back(b)
			apply(2)
			apply(3)
			if !cold(0) || cold(3100*time.Millisecond) {
				t.Errorf("cold now %v, in 3.1 s %v", cold(0), cold(3100*time.Millisecond))
			}
		})
	}
}
