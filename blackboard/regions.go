package blackboard

import (
	"sync"
	"time"

	"github.com/embercove/embercove/region"
)

// RegionTable holds what is known of other regions: a summary for each pool of theirs, how
// long a message takes there and back, and what this host has sent there. Its lock is a
// leaf: nothing else is locked under it.
type RegionTable struct {
	mu    sync.Mutex
	rows  map[regionPool]summaryRow
	sent  map[regionPool]int // since what the row tells was true
	trips map[uint32]time.Duration
	left  map[uint32]uint64 // requests that left for a region, since the start
	kept  [region.Verdicts]uint64
	quiet map[uint32]time.Time // until when a region is left alone in which an owner said nothing
}

// regionPool names a pool's endpoints in a region, by their numbers.
type regionPool struct{ region, pool uint32 }

type summaryRow struct {
	region.Summary
	at time.Time // when it was true
}

func newRegionTable() *RegionTable {
	return &RegionTable{rows: map[regionPool]summaryRow{}, sent: map[regionPool]int{}, trips: map[uint32]time.Duration{}, left: map[uint32]uint64{}, quiet: map[uint32]time.Time{}}
}

// firstTrip is how long a message takes to another region and back, as long as none was
// measured.
const firstTrip = 20 * time.Millisecond

// tripWeight is the weight of a new trip that took longer than the last ones: a shorter one
// counts at once, since all that is added to a link's own delay passes.
const tripWeight = 0.1

// fresherBy is by how much a summary has to be fresher to be a new one. One that comes back by
// other hosts seems fresher by the 10 ms in which ages are told and by its way, 8 ms between
// regions, at each of them; new ones come with exchanges, 500 ms apart.
const fresherBy = 250 * time.Millisecond

// Learn takes in a summary that was told; the fresher one of a region's pool stays.
func (t *RegionTable) Learn(s region.Summary, now time.Time) {
	k, at := regionPool{s.Region, s.Pool}, now.Add(-s.Age())
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.After(t.rows[k].at.Add(fresherBy)) {
		t.rows[k], t.sent[k] = summaryRow{s, at}, 0
	}
}

// Told returns the summaries that are worth telling on, with their age.
func (t *RegionTable) Told(now time.Time) []region.Summary {
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

// Find fills in what is known of a region's pool.
func (t *RegionTable) Find(number, pool uint32, now time.Time) (out region.There) {
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

// Trip returns how long a message takes to a region and back.
func (t *RegionTable) Trip(number uint32) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d, measured := t.trips[number]; measured {
		return d
	}
	return firstTrip
}

// Took notes how long a message took to a region and back.
func (t *RegionTable) Took(number uint32, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, measured := t.trips[number]
	if !measured || d < old {
		t.trips[number] = d
		return
	}
	t.trips[number] = old + time.Duration(tripWeight*float64(d-old))
}

// quietFor is how long a host sends nothing more to a region in which an owner said nothing.
// It may be one that froze; but a call that isn't answered costs a request a quarter of a
// second of the half that it has left, and it has been refused at home.
const quietFor = 2 * time.Second

// Missed notes that an owner in a region said nothing.
func (t *RegionTable) Missed(number uint32, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.quiet[number] = now.Add(quietFor)
}

// Quiet reports whether an owner in a region said nothing just now.
func (t *RegionTable) Quiet(number uint32, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.quiet[number])
}

// Leave notes that a request leaves for a region's pool.
func (t *RegionTable) Leave(number, pool uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent[regionPool{number, pool}]++
	t.left[number]++
}

// Keep notes why a request that its region couldn't serve didn't leave for another.
func (t *RegionTable) Keep(why region.Verdict) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.kept[why]++
}

// Left returns how many requests have left for a region.
func (t *RegionTable) Left(number uint32) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.left[number]
}

// Kept returns how many requests didn't leave, by verdict.
func (t *RegionTable) Kept() [region.Verdicts]uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.kept
}

// Drop forgets the summaries, after a pause of the process.
func (t *RegionTable) Drop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.rows)
}
