// Package region decides which requests leave their region, where to, and what a region
// takes from others.
//
// Entry hosts decide for the requests that callers bring them, by the refusals of their
// own region and by summaries of the others: one for each pool and region, a dozen bytes,
// never one for each endpoint. The last word is with the owner of the endpoint that is
// asked, who serves callers of its own region first. So a summary may be old or wrong: that
// costs one call between the regions, and breaks no promise.
//
// Its functions are pure: no network, no lock, no clock.
package region

import (
	"iter"
	"math"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/route"
)

// Summary is what hosts of a region tell others of the endpoints of a pool there.
type Summary struct {
	Region     uint32 // config.NameNumber of its name
	Pool       uint32 // PoolNumber
	Places     uint32 // requests of other regions that it would take now, all together
	WaitMillis uint32 // before one of them begins; plain services: what a call takes in all
	AgeMillis  uint32
}

// Age returns how old the summary was when it came.
func (s *Summary) Age() time.Duration { return time.Duration(s.AgeMillis) * time.Millisecond }

// PoolNumber is the number that stands for a pool in messages; for endpoints without one,
// for the model that they serve.
func PoolNumber(pool, model string) uint32 {
	if pool == "" {
		pool = model
	}
	return config.NameNumber(pool)
}

// How long a summary counts. With the digests that it is made of it is mostly some 2 to
// 4 s old where it is used. One that has become wrong costs a message there and back,
// because the owner there has the last word; TestWays compares half-lives.
const (
	trustHalf = 8 * time.Second  // after which it is worth half
	trustMost = 24 * time.Second // after which it is worth nothing
)

// Trust returns what a summary of an age is worth, from 1 to 0.
func Trust(age time.Duration) float64 {
	if age >= trustMost {
		return 0
	}
	return math.Exp2(-max(0, age).Seconds() / trustHalf.Seconds())
}

// What a region offers to others. A prefill engine that has room stands for so many
// prompts: each keeps it for a tenth of a second, and a summary is a second old or more. A
// decode engine stands for one to some requests, by its free memory, and a plain one for
// some calls.
const (
	turnsEach     = 4
	mostRoomsEach = 4
	roomsOfAll    = 8 // requests that an empty decode engine stands for, as far as mostRoomsEach
	callsEach     = 2
)

// rooms returns how many requests a decode engine that takes them stands for.
func rooms(r Room) int {
	left := float64(r.Free)/float64(max(1, r.Memory)) - ownPart
	return min(max(1, int(roomsOfAll*left)), mostRoomsEach)
}

// nearLimit is the part of a region's engines of one role of which more must have room for it to
// offer any. Below it the region's own callers are about to be refused themselves, and what
// is free is some seconds ago.
const nearLimit = 0.25

// digestMost is the age from which a digest says nothing of an engine's room.
const digestMost = 6 * time.Second

// tally counts a pool's endpoints of one role.
type tally struct {
	all, free int
	takes     int           // requests that the free ones stand for
	wait      time.Duration // of the free ones, summed up
}

func (t *tally) add(free bool, takes int, wait time.Duration) {
	t.all++
	if free {
		t.free++
		t.takes += takes
		t.wait += wait
	}
}

// offers returns how many requests the endpoints take.
func (t *tally) offers() int {
	if t.all == 0 || float64(t.free) <= nearLimit*float64(t.all) {
		return 0
	}
	return t.takes
}

// mean returns the mean wait at those that have room.
func (t *tally) mean() time.Duration { return t.wait / time.Duration(max(1, t.free)) }

// pool is what is known of a pool's endpoints in a region.
type pool struct {
	turns, rooms, calls tally
	age                 time.Duration // of the oldest digest that counts
}

// Summarize returns the summaries of a region's pools, as a host there sees them. Pools of
// which the host knows nothing are left out.
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
		pools[n].see(s, now)
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

// see counts one endpoint. The places of one that is cold or names a limit are given out by
// its starts, which are for its own region's callers.
func (p *pool) see(s *route.State, now time.Time) {
	open := !s.IsLeaving() && !s.Evacuated && !s.IsResting(now) && !s.Cold(now) && !s.Limited(now) && s.Digest.Flags == 0 && !now.Before(s.CutOff) && !s.Seen.Shunned(now)
	if s.Role == config.Service {
		if s.Seen.Took > 0 {
			took := time.Duration(s.Seen.Took * float64(time.Second))
			p.calls.add(open && !now.Before(s.Seen.Full) && s.Seen.Failing(now) < failingMost, callsEach, took)
		}
		return
	}
	age := s.Age(now)
	if s.At.IsZero() || age > digestMost {
		return
	}
	p.age = max(p.age, age)
	d := &s.Digest
	if s.Role == config.Prefill {
		queue := time.Duration(d.QueueMillis) * time.Millisecond
		p.turns.add(open && TakesTurn(queue), turnsEach, queue)
		return
	}
	room := Room{Free: int(d.FreeTokens), Memory: s.Spec.MemoryTokens, Slots: int(d.FreeSlots), AllSlots: s.Spec.Slots,
		Wait: time.Duration(d.WaitMillis) * time.Millisecond}
	p.rooms.add(open && TakesRoom(room), rooms(room), 0)
}

// failingMost is the share of failures from which an endpoint of a service is not offered.
const failingMost = 0.3

// summary returns what is told of the pool, and whether anything is known.
func (p *pool) summary() (s Summary, known bool) {
	if p.calls.all > 0 {
		return Summary{Places: uint32(p.calls.offers()), WaitMillis: uint32(p.calls.mean().Milliseconds())}, true
	}
	if p.rooms.all == 0 {
		return Summary{}, p.turns.all > 0
	}
	places := p.rooms.offers()
	if p.turns.all > 0 {
		places = min(places, p.turns.offers())
	}
	return Summary{Places: uint32(places), WaitMillis: uint32(p.turns.mean().Milliseconds()), AgeMillis: uint32(p.age.Milliseconds() / 2)}, true
}
