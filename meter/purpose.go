package meter

import "sync/atomic"

// Purpose is the reason for a call between hosts. Traffic is counted by purpose, so that
// the part that grows with the fleet can be distinguished from the part that grows with the requests.
type Purpose int

// The purposes.
const (
	Exchange      Purpose = iota // heartbeats and digests, exchanged with one host per round
	Announcements                // exchanges without digests: changes that must take effect soon, and names
	Members                      // exchanges that carry every host's heartbeat
	Fetch                        // documents and rosters
	OwnerCalls                   // queue admissions, reservations and releases at the owners of endpoints
	OwnerSync                    // calls between owners: handovers of schedulers, claims, cached prompts
	Quotas                       // quotas of teams
	Keys                         // idempotency keys
	Pings                        // liveness probes
	Tunnels                      // requests for tunnels; what passes through them isn't counted
	purposeCount
)

// String returns the value of the metric label.
func (p Purpose) String() string {
	return [purposeCount]string{"exchange", "news", "members", "fetch", "owners", "books", "quotas", "keys", "pings", "tunnels"}[p]
}

// Purposes returns all purposes.
func Purposes() []Purpose {
	out := make([]Purpose, purposeCount)
	for i := range out {
		out[i] = Purpose(i)
	}
	return out
}

// PurposeCounters counts a host's traffic for one purpose: bytes of messages without packet headers,
// and the calls that it made and that it answered.
type PurposeCounters struct {
	In, Out        atomic.Uint64
	Made, Answered atomic.Uint64
}

// PurposeTraffic counts traffic by purpose. The zero value is ready to use.
type PurposeTraffic [purposeCount]PurposeCounters

// Of returns the counters of a purpose.
func (l *PurposeTraffic) Of(p Purpose) *PurposeCounters { return &l[p] }
