package blackboard

import (
	"fmt"
	"testing"
	"time"

	"github.com/embercove/embercove/config"
)

// BenchmarkRosterChange takes in a roster of 3,000 endpoints of which one has changed, as
// each host does whenever a runner comes, goes or changes its role.
func BenchmarkRosterChange(b *testing.B) {
	s := &config.Settings{Host: "self", Domain: "a", Region: "r"}
	s.SetDefaults()
	board := New(s)
	doc := `{"failure_domains": [{"name": "a", "region": "r"}], "targets": {"ttft_ms": 1, "tpot_ms": 1}, "models": [{"name": "m", "version": "1", "max_tokens": 9, "kv_bytes_per_token": 1}],
		"pools": [{"name": "p", "memory_tokens": 9, "slots": 1, "link_bytes_per_second": 1}]}`
	if _, err := board.Config.Offer(1, []byte(doc)); err != nil {
		b.Fatal(err)
	}
	known := map[string]config.Endpoint{}
	for i := range 3000 {
		e := config.Endpoint{Name: fmt.Sprintf("i-%08x", i*2654435761), Address: fmt.Sprintf("10.8.%d.%d:80", i/250, i%250+1), Domain: "a", Pool: "p",
			Role: config.Decode, Model: "m", Version: "1", Registered: true}
		known[e.Name] = e
	}
	revision := uint64(1)
	b.ReportAllocs()
	for b.Loop() {
		revision++
		r := &config.Roster{Revision: revision}
		for _, e := range known {
			r.Endpoints = append(r.Endpoints, e)
		}
		if _, err := board.Config.OfferRoster(r, time.Now()); err != nil {
			b.Fatal(err)
		}
		board.Endpoints.Fit(board.Config.View())
	}
}
