package entry

import (
	"testing"
	"time"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
)

// TestLikely checks which requests a host that is about to stop leaves to
// others.
func TestLikely(t *testing.T) {
	pool := &config.Pool{Name: "p", MemoryTokens: 1, StepMicros: 700, StepMicrosEach: 30}
	cases := []struct {
		name     string
		prompted bool
		expected int
		stopIn   time.Duration // 0: no stop is planned
		refused  bool
	}{
		{"no stop", true, 8_000, 0, false},
		{"a short answer", true, 1_000, 6 * time.Second, false},
		{"a long answer", true, 6_000, 6 * time.Second, true},
		{"a long answer, far from the end", true, 6_000, 15 * time.Second, false},
		{"no guess", true, 0, 6 * time.Second, true},
		{"a plain call", false, 0, 2 * time.Second, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := new(config.Settings)
			s.SetDefaults()
			b := blackboard.New(s)
			if tc.stopIn > 0 {
				b.SetStop(time.Now().Add(tc.stopIn))
			}
			j := &job{prompted: tc.prompted, expected: tc.expected, pool: "p", work: new(endpoint.Work),
				view:  &config.View{Pools: map[string]*config.Pool{"p": pool}, Doc: new(config.Document)},
				route: &config.RouteView{Route: &config.Route{TargetMillis: 900}}}
			j.work.MaxTokens = 10_880
			if got := b.StopsWithin(j.likely()); got != tc.refused {
				t.Errorf("refused %v, want %v", got, tc.refused)
			}
		})
	}
}
