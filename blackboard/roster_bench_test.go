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

// fleetEndpoint returns one of many endpoints.
func fleetEndpoint(i int) config.Endpoint {
	return config.Endpoint{Name: fmt.Sprintf("i-%08x", uint32(i)*2654435761), Address: fmt.Sprintf("10.%d.%d.%d:80", 8+i/62500, i/250%250, i%250+1),
		Domain: string("abc"[i%3]), Pool: "p", Role: config.Decode, Model: "m", Version: "1"}
}

// fleetBoard returns a board with a roster of so many endpoints in force.
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
	board.Endpoints.Fit(board.Config.View())
	return board
}

// changeOne has one endpoint of a board's roster begin or cease to leave, and lays it out.
func changeOne(tb testing.TB, board *Board, i, endpoints int) {
	r := *board.Config.Roster()
	r.Revision++
	e := fleetEndpoint(i % endpoints)
	e.Leaving = !r.Endpoints.Get(config.NameNumber(e.Name)).Leaving
	r.Endpoints = config.Put(r.Endpoints, &e)
	if in, err := board.Config.OfferRoster(&r, time.Now()); !in || err != nil {
		tb.Fatal(in, err)
	}
	board.Endpoints.Fit(board.Config.View())
}

// BenchmarkEndpointChange takes in that one endpoint of a roster begins or ceases to leave,
// until requests go by it, as each host does whenever an endpoint comes, changes or goes.
func BenchmarkEndpointChange(b *testing.B) {
	for _, n := range []int{1500, 6000, 12000} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			board := fleetBoard(b, n)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				changeOne(b, board, i, n)
				i++
			}
		})
	}
}

// TestEndpointChange checks that taking in a change of one endpoint costs hardly more where
// there are eight times as many. On hosts with a fifth of a core, one of 6,000 that began to
// leave took a tenth of a second and a tenth of the memory while all were taken over, sorted
// and laid out anew for it.
func TestEndpointChange(t *testing.T) {
	const few, many, changes = 1500, 12000, 500
	const most = 1.5 // times as much
	var bytes, pieces [2]float64
	for i, n := range []int{few, many} {
		board := fleetBoard(t, n)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for k := range changes {
			changeOne(t, board, k, n)
		}
		runtime.ReadMemStats(&after)
		bytes[i] = float64(after.TotalAlloc-before.TotalAlloc) / changes
		pieces[i] = float64(after.Mallocs-before.Mallocs) / changes
	}
	if bytes[1] > most*bytes[0] || pieces[1] > most*pieces[0] {
		t.Errorf("a change of one of %d endpoints allocates %.0f B in %.0f pieces, of %d %.0f B in %.0f, want %.1f times as much at the most",
			few, bytes[0], pieces[0], many, bytes[1], pieces[1], most)
	}
}
