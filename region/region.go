// Package region decides which requests are redirected to a remote region, to which one, and
// which requests a region accepts from others.
//
// Entry hosts decide for their callers' requests by the refusals of their own region and by
// summaries of the others: a dozen bytes per pool and region, never one per endpoint. The owner of
// the requested endpoint makes the final decision and serves callers of its own region first. So
// a summary may be old or wrong: that costs one call between regions and breaks no guarantee.
//
// Its functions use no network, lock or clock.
package region

import (
	"iter"
	"math"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/route"
)

// Summary describes the endpoints of a pool in a region to hosts of other regions.
type Summary struct {
	Region     uint32 // config.NameNumber of its name
	Pool       uint32 // PoolNumber
	Capacity   uint32 // requests of all other regions together that it would accept now
	WaitMillis uint32 // until one of them begins; plain services: total time of a call
	AgeMillis  uint32 // at first half the age of the oldest digest that it sums up
}

// Age returns how old the summary was when it came.
func (s *Summary) Age() time.Duration { return time.Duration(s.AgeMillis) * time.Millisecond }

// PoolNumber returns the number that identifies a pool in messages. For endpoints without a pool it
// is that of the model.
func PoolNumber(pool, model string) uint32 {
	if pool == "" {
		pool = model
	}
	return config.NameNumber(pool)
}

// How long a summary counts. Including the age of the digests that it sums up, it is mostly 2 to
// 4 s old when used. A wrong one costs a round trip, because the owner there can refuse. TestWays
// compares half-lives.
const (
	trustHalfLife = 8 * time.Second  // its weight halves in this time
	maxTrustAge   = 24 * time.Second // from this age it is ignored
)

// Trust returns the weight of a summary by its age, from 1 to 0.
func Trust(age time.Duration) float64 {
	if age >= maxTrustAge {
		return 0
	}
	return math.Exp2(-max(0, age).Seconds() / trustHalfLife.Seconds())
}

// How many requests an endpoint with free capacity adds to its region's offer. A prefill engine
// adds several, because a prompt takes a tenth of a second and a summary is at least a second
// old. A decode engine adds one to maxPerDecode, by its free memory. An endpoint of a plain service
// adds several calls.
const (
	requestsPerPrefill = 4
	maxPerDecode       = 4
	perIdleDecode      = 8 // times the share of free memory above ownShare; then bounded by maxPerDecode
	requestsPerService = 2
)

// offeredRequests returns how many requests a decode engine that accepts them adds to the offer.
func offeredRequests(r DecodeCapacity) int {
	left := float64(r.Free)/float64(max(1, r.Memory)) - ownShare
	return min(max(1, int(perIdleDecode*left)), maxPerDecode)
}

// minFreeShare is the share of a pool's endpoints of one role that must be exceeded by the free ones
// for a region to offer any capacity. With fewer free ones the region's own callers are about to be
// refused, and remote hosts use the offer some seconds late.
const minFreeShare = 0.25

// maxDigestAge is the age beyond which a digest says nothing about an engine's capacity.
const maxDigestAge = 6 * time.Second

// tally counts a pool's endpoints of one role.
type tally struct {
	all, free int
	capacity  int           // requests that the free ones can take
	wait      time.Duration // sum over the free ones
}

func (t *tally) add(free bool, capacity int, wait time.Duration) {
	t.all++
	if free {
		t.free++
		t.capacity += capacity
		t.wait += wait
	}
}

// offered returns how many requests the endpoints can take from other regions.
func (t *tally) offered() int {
	if t.all == 0 || float64(t.free) <= minFreeShare*float64(t.all) {
		return 0
	}
	return t.capacity
}

// meanWait returns the mean wait at the free ones.
func (t *tally) meanWait() time.Duration { return t.wait / time.Duration(max(1, t.free)) }

// pool counts the endpoints of a pool in a region.
type pool struct {
	prefill, decode, service tally
	age                      time.Duration // of the oldest digest counted
}

// Summarize returns the summaries of the pools of a host's own region. Pools without usable digests
// are left out.
func Summarize(states iter.Seq[*route.State], own config.Regions, number uint32, now time.Time) []Summary {
	pools := map[uint32]*pool{}
	var order []uint32
	for s := range states {
		if s.Region != own {
			continue
		}
		n := PoolNumber(s.Spec.Pool, s.Spec.Model)
		if pools[n] == nil {
			pools[n] = new(pool)
			order = append(order, n)
		}
		pools[n].addEndpoint(s, now)
	}
	var out []Summary
	for _, n := range order {
		if s, known := pools[n].summary(); known {
			s.Region, s.Pool = number, n
			out = append(out, s)
		}
	}
	return out
}

// addEndpoint counts one endpoint. One that is cold or names a limit counts as not free: its
// capacity is given out by start permits, which are for callers of its own region.
func (p *pool) addEndpoint(s *route.State, now time.Time) {
	available := !s.IsLeaving() && !s.Evacuated && !s.IsBackingOff(now) && !s.IsCold(now) && !s.IsLimited(now) && s.Digest.Flags == 0 && !now.Before(s.CutOffUntil) && !s.Calls.IsUnreachable(now)
	if s.Role == config.Service {
		if s.Calls.MeanSeconds > 0 {
			took := time.Duration(s.Calls.MeanSeconds * float64(time.Second))
			p.service.add(available && !now.Before(s.Calls.FullUntil) && s.Calls.FailureRate(now) < maxFailing, requestsPerService, took)
		}
		return
	}
	age := s.Age(now)
	if s.DigestAt.IsZero() || age > maxDigestAge {
		return
	}
	p.age = max(p.age, age)
	d := &s.Digest
	if s.Role == config.Prefill {
		queue := time.Duration(d.QueueMillis) * time.Millisecond
		p.prefill.add(available && AcceptsPrefill(queue), requestsPerPrefill, queue)
		return
	}
	free := DecodeCapacity{Free: int(d.FreeTokens), Memory: s.Spec.MemoryTokens, Slots: int(d.FreeSlots), TotalSlots: s.Spec.Slots,
		Wait: time.Duration(d.WaitMillis) * time.Millisecond}
	p.decode.add(available && AcceptsDecode(free), offeredRequests(free), 0)
}

// maxFailing is the share of failed calls from which an endpoint of a service is not offered.
const maxFailing = 0.3

// summary returns the summary of the pool, and whether anything is known.
func (p *pool) summary() (s Summary, known bool) {
	if p.service.all > 0 {
		return Summary{Capacity: uint32(p.service.offered()), WaitMillis: uint32(p.service.meanWait().Milliseconds())}, true
	}
	if p.decode.all == 0 {
		return Summary{}, p.prefill.all > 0
	}
	capacity := p.decode.offered()
	if p.prefill.all > 0 {
		capacity = min(capacity, p.prefill.offered())
	}
	return Summary{Capacity: uint32(capacity), WaitMillis: uint32(p.prefill.meanWait().Milliseconds()), AgeMillis: uint32(p.age.Milliseconds() / 2)}, true
}
