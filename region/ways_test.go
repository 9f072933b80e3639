package region

import (
	"math/rand/v2"
	"testing"
	"time"
)

// A model of three regions in steps of 10 ms, which compares strategies of redirecting requests. A
// request occupies one slot of a region for a while; one that finds no free slot in any region is
// lost. Hosts know the current state of their own region, by its owners' refusals, and that of the
// others some seconds ago.

const (
	modelStep     = 10 * time.Millisecond
	modelSpan     = 30 * time.Second
	modelCapacity = 40 // slots of each region
	modelHold     = 800 * time.Millisecond
	modelDetour   = 100 * time.Millisecond // added latency, during which the slot is occupied too
	modelHosts    = 30                     // of each region
	modelLoad     = 0.5                    // share of the slots in use
)

// world is the state of the model.
type world struct {
	r        *rand.Rand
	capacity [3]int         // slots
	used     [3]int         // occupied slots
	lent     [3][3]int      // slots by their region and the region they are lent to
	releases map[int][3]int // by step, slots that become free
	step     int
	known    [3][modelHosts][3]report
	sent     [3][modelHosts][3]int
}

type report struct {
	capacity int
	at       int // step
}

// scenario is the load and the capacity over time.
type scenario struct {
	name      string
	load      func(region int, at time.Duration) float64 // factor on the normal load
	capacity  func(region int, at time.Duration) int
	minServed float64 // share of requests that the strategy in use has to serve in the worst region; near what an ideal fleet serves
}

// outcome counts requests by the region of their callers.
type outcome struct {
	requests, served     [3]int
	remoteCalls, refused int // calls to other regions, and how many of them were refused
}

func (o *outcome) minShare() float64 {
	lowest := 1.0
	for i := range o.requests {
		lowest = min(lowest, float64(o.served[i])/float64(max(1, o.requests[i])))
	}
	return lowest
}

func (o *outcome) totalShare() float64 {
	requests, served := 0, 0
	for i := range o.requests {
		requests, served = requests+o.requests[i], served+o.served[i]
	}
	return float64(served) / float64(max(1, requests))
}

// strategy decides to which other regions a host sends a request, in order.
type strategy struct {
	name          string
	redirectEarly bool    // also while the own region has free slots
	reserve       float64 // share of the slots reserved for local callers
	lend          bool
	targets       func(w *world, from, host int) []int
}

func (w *world) age(r report) time.Duration { return time.Duration(w.step-r.at) * modelStep }

// byForecast returns the strategy in use, with a factor on a host's even share and a half-life of
// reports.
func byForecast(factor float64, halfLife time.Duration) func(w *world, from, host int) []int {
	return func(w *world, from, host int) (out []int) {
		sum := 0.0
		weights := [3]float64{}
		for to := range weights {
			n := w.known[from][host][to]
			trust := exp2(-w.age(n).Seconds() / halfLife.Seconds())
			share := factor * float64(n.capacity) * trust / modelHosts
			if to == from || float64(w.sent[from][host][to]) >= share && w.r.Float64() >= share-float64(int(share)) {
				continue
			}
			weights[to] = float64(n.capacity) * trust
			sum += weights[to]
		}
		for range 2 {
			at := w.r.Float64() * sum
			for to, weight := range weights {
				if at -= weight; weight > 0 && at < 0 {
					out, weights[to], sum = append(out, to), 0, sum-weight
					break
				}
			}
		}
		return out
	}
}

// toFreest targets the region that offers most.
func toFreest(w *world, from, host int) []int {
	best, highest := -1, 0
	for to, n := range w.known[from][host] {
		if to != from && n.capacity > highest {
			best, highest = to, n.capacity
		}
	}
	if best < 0 {
		return nil
	}
	return []int{best}
}

// toLent targets the regions that have lent slots to the own region.
func toLent(w *world, from, _ int) (out []int) {
	for to := range 3 {
		if to != from && w.lent[to][from] > 0 {
			out = append(out, to)
		}
	}
	return out
}

func strategies() []strategy {
	return []strategy{
		{"islands", false, 0.1, false, func(*world, int, int) []int { return nil }},
		{"threshold, the freest", true, 0.1, false, toFreest},
		{"shares lent for 300 ms", false, 0.1, true, toLent},
		{"forecast, factor 1, 8 s", false, 0.1, false, byForecast(1, 8*time.Second)},
		{"forecast, factor 4, 2 s", false, 0.1, false, byForecast(4, 2*time.Second)},
		{chosenStrategy, false, ownShare, false, byForecast(shareFactor, trustHalfLife)},
		{"forecast, factor 4, never", false, 0.1, false, byForecast(4, time.Hour)},
		{"forecast, no bound, 8 s", false, 0.1, false, byForecast(1000, 8*time.Second)},
		{"forecast, a quarter kept", false, 0.25, false, byForecast(4, 8*time.Second)},
		{"forecast, nothing kept", false, 0, false, byForecast(4, 8*time.Second)},
	}
}

const chosenStrategy = "forecast, as in use"

func exp2(x float64) float64 { return Trust(time.Duration(-x * float64(trustHalfLife))) }

// free reports whether a region has a free slot for local callers or, if own is false, for others.
func (w *world) free(region int, own bool, reserve float64) bool {
	free := w.capacity[region] - w.used[region]
	for _, n := range w.lent[region] {
		free -= n
	}
	if own {
		return free > 0
	}
	return free > int(reserve*float64(w.capacity[region]))
}

// take occupies a slot for a duration.
func (w *world) take(region int, d time.Duration) {
	w.used[region]++
	at := w.step + int(d/modelStep)
	e := w.releases[at]
	e[region]++
	w.releases[at] = e
}

// offer returns the capacity that a region reports to others.
func (w *world) offer(region int, reserve float64) int {
	return max(0, w.capacity[region]-w.used[region]-int(reserve*float64(w.capacity[region])))
}

// serve reports whether a request got a slot.
func (w *world) serve(s strategy, o *outcome, from, host int) bool {
	busy := !w.free(from, true, s.reserve)
	nearLimit := float64(w.used[from]) > 0.9*float64(w.capacity[from])
	if !busy && !(s.redirectEarly && nearLimit) {
		w.take(from, modelHold)
		return true
	}
	for _, to := range s.targets(w, from, host) {
		o.remoteCalls++
		if s.lend {
			w.lent[to][from]--
		} else if !w.free(to, false, s.reserve) {
			o.refused++
			continue
		}
		w.take(to, modelHold+modelDetour)
		w.sent[from][host][to]++
		return true
	}
	if !busy {
		w.take(from, modelHold)
	}
	return !busy
}

// runModel runs a strategy in a scenario.
func runModel(s strategy, sc scenario, seed uint64) (o outcome) {
	w := &world{r: rand.New(rand.NewPCG(seed, 1)), releases: map[int][3]int{}}
	rate := modelLoad * modelCapacity / modelHold.Seconds() * modelStep.Seconds()
	for ; w.step < int(modelSpan/modelStep); w.step++ {
		at := time.Duration(w.step) * modelStep
		for i := range 3 {
			w.capacity[i] = sc.capacity(i, at)
			w.used[i] -= w.releases[w.step][i]
		}
		w.exchange(s)
		for i := range 3 {
			for n := rate * sc.load(i, at); n > 0; n-- {
				if n >= 1 || w.r.Float64() < n {
					o.requests[i]++
					if w.serve(s, &o, i, w.r.IntN(modelHosts)) {
						o.served[i]++
					}
				}
			}
		}
	}
	return o
}

// exchange updates what hosts know of other regions: each host every two seconds on average, with
// reports that are up to a second old, as with real exchanges. For a lending strategy it lends the
// slots again every 300 ms.
func (w *world) exchange(s strategy) {
	if s.lend {
		if w.step%30 == 0 {
			w.lent = [3][3]int{}
			for i := range 3 {
				for k := range 3 {
					if k != i {
						w.lent[i][k] = w.offer(i, s.reserve) / 4 // a quarter to each of the two, half stays for local callers
					}
				}
			}
		}
		return
	}
	for i := range 3 {
		for h := range modelHosts {
			if w.r.IntN(200) == 0 {
				for k := range 3 {
					w.sent[i][h][k] = 0
					w.known[i][h][k] = report{w.offer(k, s.reserve), w.step - w.r.IntN(100)}
				}
			}
		}
	}
}

func scenarios() []scenario {
	normal := func(int, time.Duration) int { return modelCapacity }
	constant := func(x float64) func(int, time.Duration) float64 { return func(int, time.Duration) float64 { return x } }
	inFirst := func(x float64) func(int, time.Duration) float64 {
		return func(i int, at time.Duration) float64 {
			if i == 0 && at > 8*time.Second && at < 20*time.Second {
				return x
			}
			return 1
		}
	}
	loseIn := func(part float64) func(int, time.Duration) int {
		return func(i int, at time.Duration) int {
			if i == 0 && at > 8*time.Second && at < 20*time.Second {
				return int(part * modelCapacity)
			}
			return modelCapacity
		}
	}
	return []scenario{
		{"normal load", constant(1), normal, 0.99},
		{"three times the load in one", inFirst(3), normal, 0.95},
		{"one loses half of its slots", constant(1.2), loseIn(0.5), 0.94},
		{"one loses all its slots", constant(1), loseIn(0), 0.92},
		{"all are overloaded", constant(2.2), normal, 0.85},
		{"the load swings", func(i int, at time.Duration) float64 {
			if int(at/(3*time.Second))%3 == i {
				return 2.6
			}
			return 0.7
		}, normal, 0.95},
	}
}

// TestWays runs all strategies in all scenarios and checks the one in use. A wrong share or
// half-life would leave capacity of other regions unused, or let requests collide there.
func TestWays(t *testing.T) {
	for _, sc := range scenarios() {
		for _, s := range strategies() {
			var sum outcome
			for seed := range uint64(3) {
				o := runModel(s, sc, seed+1)
				for i := range 3 {
					sum.requests[i] += o.requests[i]
					sum.served[i] += o.served[i]
				}
				sum.remoteCalls, sum.refused = sum.remoteCalls+o.remoteCalls, sum.refused+o.refused
			}
			others := float64(sum.served[1]+sum.served[2]) / float64(sum.requests[1]+sum.requests[2])
			t.Logf("%-32s %-26s worst %.3f, all %.3f, others %.3f, %d remote calls, %d refused", sc.name, s.name, sum.minShare(), sum.totalShare(), others, sum.remoteCalls, sum.refused)
			if s.name == chosenStrategy && sum.minShare() < sc.minServed {
				t.Errorf("%s: the worst region %.3f, want %.3f", sc.name, sum.minShare(), sc.minServed)
			}
		}
	}
}
