package blackboard

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/request"
)

// TestCandidates checks that Candidates chooses the same hosts as HostTable, for random sets of
// leaving, unconfirmed and suspected hosts.
func TestCandidates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &config.Settings{Host: "self", Domain: "a", Region: "r"}
		s.SetDefaults()
		hosts, now := New(s).Hosts, time.Now()
		for i := range rapid.IntRange(0, 12).Draw(t, "hosts") {
			name := fmt.Sprintf("h%d", i)
			h := Host{Name: name, Number: request.HostNumber(name), Domain: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain"), Region: "r",
				Incarnation: 1, Heartbeat: 1, Leaving: rapid.Bool().Draw(t, "leaving")}
			hosts.Learn(h, now)
			if rapid.Bool().Draw(t, "unconfirmed") {
				hosts.MarkUnconfirmed(h.Number)
			}
			if rapid.Bool().Draw(t, "suspected") {
				hosts.Suspect(h.Number, 1, 1, now)
			}
		}
		for _, domain := range []string{"a", "b", "none"} {
			c := hosts.Candidates(domain, now)
			for range 8 {
				key := rapid.Uint64().Draw(t, "key")
				want, ok := hosts.First(key, domain, now)
				if got, found := c.First(key); got != want.Number || found != ok || c.Empty() == ok {
					t.Fatalf("First of %s: %d %v, want %d %v", domain, got, found, want.Number, ok)
				}
				want, ok = hosts.FirstStable(key, domain, now)
				if got, found := c.FirstStable(key); got != want.Number || found != ok {
					t.Fatalf("FirstStable of %s: %d %v, want %d %v", domain, got, found, want.Number, ok)
				}
			}
		}
	})
}
