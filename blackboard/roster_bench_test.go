package blackboard

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/embercove/embercove/config"
)

const fleetDocument = `{"failure_domains": [{"name": "a", "region": "r"}, {"name": "b", "region": "r"}, {"name": "c", "region": "r"}],
	"targets": {"ttft_ms": 1, "tpot_ms": 1}, "models": [{"name": "m", "version": "1", "max_tokens": 9, "kv_bytes_per_token": 1}],
	"pools": [{"name": "p", "memory_tokens": 9, "slots": 1, "link_bytes_per_second": 1}]}`

// fleetEndpoint returns the endpoint with the given index.
func fleetEndpoint(i int) config.Endpoint {
	return config.Endpoint{Name: fmt.Sprintf("i-%08x", uint32(i)*2654435761), Address: fmt.Sprintf("10.%d.%d.%d:80", 8+i/62500, i/250%250, i%250+1),
		Domain: string("abc"[i%3]), Pool: "p", Role: config.Decode, Model: "m", Version: "1"}
}

// fleetBoard returns a board with a roster of the given number of endpoints in force.
func fleetBoard(tb testing.TB, endpoints int) *Board {
	tb.Helper()
	s := &config.Settings{Host: "self", Domain: "a", Region: "r"}
	s.SetDefaults()
	board := New(s)
	if _, err := board.Config.Offer(1, []byte(fleetDocument)); err != nil {
		tb.Fatal(err)
	}
	list := &config.RosterList{Revision: 1}
	for i := range endpoints {
		list.Endpoints = append(list.Endpoints, fleetEndpoint(i))
	}
	if _, err := board.Config.OfferRoster(list.Roster(), time.Now()); err != nil {
		tb.Fatal(err)
	}
	board.Endpoints.ApplyView(board.Config.View())
	return board
}

// toggleLeaving toggles whether one endpoint of a board's roster is leaving, and applies the change.
func toggleLeaving(tb testing.TB, board *Board, i, endpoints int) {
	r := *board.Config.Roster()
	r.Revision++
	e := fleetEndpoint(i % endpoints)
	e.Leaving = !r.Endpoints.Get(config.NameNumber(e.Name)).Leaving
	r.Endpoints = config.Put(r.Endpoints, &e)
	if in, err := board.Config.OfferRoster(&r, time.Now()); !in || err != nil {
		tb.Fatal(in, err)
	}
	board.Endpoints.ApplyView(board.Config.View())
}

// BenchmarkEndpointChange measures applying a change of one endpoint of a roster up to the routing
// tables, as each host does whenever an endpoint is added, changed or removed.
func BenchmarkEndpointChange(b *testing.B) {
	for _, n := range []int{1500, 6000, 12000} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			board := fleetBoard(b, n)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				toggleLeaving(b, board, i, n)
				i++
			}
		})
	}
}

// TestEndpointChange checks that applying a change of one endpoint allocates hardly more with eight
// times as many endpoints. When each change copied, sorted and indexed all endpoints again, one
// endpoint of 6,000 that began to leave took a tenth of a second and a tenth of the memory on
// hosts with a fifth of a core.
func TestEndpointChange(t *testing.T) {
	const few, many, changes = 1500, 12000, 500
	const maxRatio = 1.5 // maximum ratio
	var bytes, objects [2]float64
	for i, n := range []int{few, many} {
		board := fleetBoard(t, n)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for k := range changes {
			toggleLeaving(t, board, k, n)
		}
		runtime.ReadMemStats(&after)
		bytes[i] = float64(after.TotalAlloc-before.TotalAlloc) / changes
		objects[i] = float64(after.Mallocs-before.Mallocs) / changes
	}
	if bytes[1] > maxRatio*bytes[0] || objects[1] > maxRatio*objects[0] {
		t.Errorf("a change of one of %d endpoints allocates %.0f B in %.0f objects, of %d %.0f B in %.0f, want at most %.1f times as much",
			few, bytes[0], objects[0], many, bytes[1], objects[1], maxRatio)
	}
}
