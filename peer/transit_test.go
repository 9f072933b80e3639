package peer

import (
	"testing"
	"time"
)

// TestDelayedReportsAreOlder checks how long messages count as having been on their way.
func TestDelayedReportsAreOlder(t *testing.T) {
	const from = 7
	type message struct {
		sent    SentAt
		read    time.Duration // by the receiver's clock
		delayed time.Duration
	}
	ms := time.Millisecond
	cases := []struct {
		name     string
		messages []message
	}{
		{"all as fast", []message{{SentAt{1, 1000}, 5000 * ms, 0}, {SentAt{1, 2000}, 6000 * ms, 0}}},
		{"one waits", []message{{SentAt{1, 1000}, 5000 * ms, 0}, {SentAt{1, 2000}, 8500 * ms, 2500 * ms}, {SentAt{1, 2100}, 8500 * ms, 2400 * ms}, {SentAt{1, 6000}, 10 * time.Second, 0}}},
		{"a faster one than the first", []message{{SentAt{1, 1000}, 5300 * ms, 0}, {SentAt{1, 2000}, 6000 * ms, 0}, {SentAt{1, 3000}, 7300 * ms, 300 * ms}}},
		{"the sender starts again", []message{{SentAt{1, 60_000}, 61 * time.Second, 0}, {SentAt{2, 100}, 62 * time.Second, 0}, {SentAt{2, 200}, 63 * time.Second, 900 * ms}}},
		{"of an earlier version", []message{{SentAt{}, 5 * time.Second, 0}, {SentAt{}, 9 * time.Second, 0}}},
		{"clocks drift apart", []message{{SentAt{1, 1000}, time.Second, 0}, {SentAt{1, 301_000}, 302 * time.Second, time.Second}, {SentAt{1, 302_000}, 303 * time.Second, time.Second},
			{SentAt{1, 700_000}, 701 * time.Second, 0}}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var table transits
			for i, m := range tc.messages {
				if got := table.delay(from, m.sent, m.read); got != m.delayed {
					t.Errorf("message %d was delayed by %v, want %v", i, got, m.delayed)
				}
			}
		})
	}
}

// TestSlowerNetworkIsNoDelayForGood has the round trip to a host become longer for good, as by another path.
func TestSlowerNetworkIsNoDelayForGood(t *testing.T) {
	const host, before, after = 7, time.Millisecond, 150 * time.Millisecond
	var table roundTrips
	if got := table.excess(host, before, 0); got != before {
		t.Errorf("excess %v of the first round trip, want all of it", got)
	}
	if got := table.excess(host, after, time.Second); got != after-before {
		t.Errorf("excess %v at once, want %v", got, after-before)
	}
	for uptime := leastPeriod + time.Minute; uptime < 3*leastPeriod; uptime += time.Minute {
		table.excess(host, after, uptime)
	}
	if got := table.excess(host, after, 3*leastPeriod); got != 0 {
		t.Errorf("excess %v after %v, want none", got, 3*leastPeriod)
	}
}
