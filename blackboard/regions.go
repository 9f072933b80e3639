package blackboard

import (
	"sync"
	"time"

	"github.com/embercove/embercove/region"
)

// RegionTable holds the known state of other regions: a summary for each of their pools, the
// round-trip time, and what this host has sent there. Its lock is a leaf: nothing else is locked
// under it.
type RegionTable struct {
	mu            sync.Mutex
	rows          map[regionPool]summaryRow
	sent          map[regionPool]int // requests sent since the time of the summary
	roundTrips    map[uint32]time.Duration
	redirected    map[uint32]uint64 // requests redirected to a region, since the start
	notRedirected [region.VerdictCount]uint64
	avoidUntil    map[uint32]time.Time // until when a region is avoided, after an owner there didn't answer
}

// regionPool identifies a pool's endpoints in a region, by the numbers of both.
type regionPool struct{ region, pool uint32 }

type summaryRow struct {
	region.Summary
	at time.Time // time at which the summary was current
}

func newRegionTable() *RegionTable {
	return &RegionTable{rows: map[regionPool]summaryRow{}, sent: map[regionPool]int{}, roundTrips: map[uint32]time.Duration{}, redirected: map[uint32]uint64{}, avoidUntil: map[uint32]time.Time{}}
}

// defaultRoundTrip is the assumed round-trip time to another region before one has been measured.
const defaultRoundTrip = 20 * time.Millisecond

// roundTripWeight is the weight of a new round-trip time that is longer than the average. A shorter
// one replaces the average at once, because delays in excess of the link's own are temporary.
const roundTripWeight = 0.1

// fresherBy is how much fresher a summary must be to count as new. A summary that other hosts
// forward seems fresher at each hop by the 10 ms steps in which ages are sent and by its time on
// the way, 8 ms between regions. New summaries are sent with exchanges, 500 ms apart.
const fresherBy = 250 * time.Millisecond

// Learn stores a received summary, unless the known one of the region's pool is as fresh.
func (t *RegionTable) Learn(s region.Summary, now time.Time) {
	k, at := regionPool{s.Region, s.Pool}, now.Add(-s.Age())
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.After(t.rows[k].at.Add(fresherBy)) {
		t.rows[k], t.sent[k] = summaryRow{s, at}, 0
	}
}

// Summaries returns the summaries that are fresh enough to be forwarded, with their age, and drops
// the others.
func (t *RegionTable) Summaries(now time.Time) []region.Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []region.Summary
	for k, r := range t.rows {
		age := now.Sub(r.at)
		if region.Trust(age) == 0 {
			delete(t.rows, k)
			continue
		}
		r.AgeMillis = uint32(age.Milliseconds())
		out = append(out, r.Summary)
	}
	return out
}

// Find returns the known state of a region's pool.
func (t *RegionTable) Find(number, pool uint32, now time.Time) (out region.RemoteRegion) {
	k := regionPool{number, pool}
	t.mu.Lock()
	defer t.mu.Unlock()
	r, known := t.rows[k]
	out.Summary, out.Known, out.Sent = r.Summary, known, t.sent[k]
	if known {
		out.Age = now.Sub(r.at)
	}
	return out
}

// RoundTrip returns the round-trip time to a region.
func (t *RegionTable) RoundTrip(number uint32) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d, measured := t.roundTrips[number]; measured {
		return d
	}
	return defaultRoundTrip
}

// RecordRoundTrip records a measured round-trip time to a region.
func (t *RegionTable) RecordRoundTrip(number uint32, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, measured := t.roundTrips[number]
	if !measured || d < old {
		t.roundTrips[number] = d
		return
	}
	t.roundTrips[number] = old + time.Duration(roundTripWeight*float64(d-old))
}

// avoidFor is how long a host avoids a region after an owner there didn't answer. Only that one
// host may be frozen. But an unanswered call costs a request, already refused in its own region,
// a quarter of a second of the half second that it has left.
const avoidFor = 2 * time.Second

// RecordMiss records that an owner in a region didn't answer.
func (t *RegionTable) RecordMiss(number uint32, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.avoidUntil[number] = now.Add(avoidFor)
}

// Avoided reports whether a region is avoided because an owner there didn't answer within the
// last avoidFor.
func (t *RegionTable) Avoided(number uint32, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.avoidUntil[number])
}

// CountRedirect counts a request redirected to a region's pool.
func (t *RegionTable) CountRedirect(number, pool uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent[regionPool{number, pool}]++
	t.redirected[number]++
}

// CountNotRedirected counts a request that its region couldn't serve and that was not redirected,
// by reason.
func (t *RegionTable) CountNotRedirected(why region.Verdict) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notRedirected[why]++
}

// Redirected returns the number of requests redirected to a region.
func (t *RegionTable) Redirected(number uint32) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.redirected[number]
}

// NotRedirected returns the number of requests that were not redirected, by verdict.
func (t *RegionTable) NotRedirected() [region.VerdictCount]uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.notRedirected
}

// Drop discards the summaries, after a pause of the process.
func (t *RegionTable) Drop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.rows)
}
