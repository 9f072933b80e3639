package region

import (
	"math/rand/v2"
	"testing"
	"time"
)

// The ways to let regions help each other that were weighed, on a model of three regions in
// steps of 10 ms. A region has places, and a request keeps one for a while; one that finds
// none is lost unless it gets one elsewhere. Hosts know their own region as it is, by its
// owners' refusals, and the others as they were some seconds ago.

const (
	modelStep   = 10 * time.Millisecond
	modelSpan   = 30 * time.Second
	modelPlaces = 40 // of each region
	modelHold   = 800 * time.Millisecond
	modelTrips  = 100 * time.Millisecond // that the way costs, which keeps a place as well
	modelHosts  = 30                     // of each region
	modelUsual  = 0.5                    // of the places are in use
)

// world is the state of the model.
type world struct {
	r      *rand.Rand
	places [3]int         // that there are
	used   [3]int         // that are taken
	lent   [3][3]int      // of a region's, by the region that they are lent to
	ends   map[int][3]int // by step, places that become free
	step   int
	known  [3][modelHosts][3]news
	sent   [3][modelHosts][3]int
}

type news struct {
	places int
	at     int // step
}

// befalls is what happens in the model.
type befalls struct {
	name   string
	times  func(region int, at time.Duration) float64 // the usual load
	places func(region int, at time.Duration) int
	least  float64 // of what an ideal fleet serves, that the way that was taken has to serve in the worst region
}

// outcome is what became of the callers of the regions.
type outcome struct {
	asked, served [3]int
	asks, wasted  int // calls to other regions, and those that were refused
}

func (o *outcome) worst() float64 {
	worst := 1.0
	for i := range o.asked {
		worst = min(worst, float64(o.served[i])/float64(max(1, o.asked[i])))
	}
	return worst
}

func (o *outcome) all() float64 {
	asked, served := 0, 0
	for i := range o.asked {
		asked, served = asked+o.asked[i], served+o.served[i]
	}
	return float64(served) / float64(max(1, asked))
}

// way decides which other regions a request of a host is sent to, one after the other.
type way struct {
	name  string
	early bool    // also where the own region has places
	kept  float64 // part of the places that is kept for own callers
	lends bool
	to    func(w *world, from, host int) []int
}

func (w *world) age(n news) time.Duration { return time.Duration(w.step-n.at) * modelStep }

// byForecast is the way that was taken, with a factor on a host's even part and a half-life.
func byForecast(factor float64, half time.Duration) func(w *world, from, host int) []int {
	return func(w *world, from, host int) (out []int) {
		sum := 0.0
		weights := [3]float64{}
		for to := range weights {
			n := w.known[from][host][to]
			trust := exp2(-w.age(n).Seconds() / half.Seconds())
			part := factor * float64(n.places) * trust / modelHosts
			if to == from || float64(w.sent[from][host][to]) >= part && w.r.Float64() >= part-float64(int(part)) {
				continue
			}
			weights[to] = float64(n.places) * trust
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

// toFreest sends to the region that offers most.
func toFreest(w *world, from, host int) []int {
	best, most := -1, 0
	for to, n := range w.known[from][host] {
		if to != from && n.places > most {
			best, most = to, n.places
		}
	}
	if best < 0 {
		return nil
	}
	return []int{best}
}

// toLent sends where places are lent to the own region.
func toLent(w *world, from, _ int) (out []int) {
	for to := range 3 {
		if to != from && w.lent[to][from] > 0 {
			out = append(out, to)
		}
	}
	return out
}

func ways() []way {
	return []way{
		{"islands", false, 0.1, false, func(*world, int, int) []int { return nil }},
		{"threshold, the freest", true, 0.1, false, toFreest},
		{"shares lent for 300 ms", false, 0.1, true, toLent},
		{"forecast, factor 1, 8 s", false, 0.1, false, byForecast(1, 8*time.Second)},
		{"forecast, factor 4, 2 s", false, 0.1, false, byForecast(4, 2*time.Second)},
		{takenWay, false, ownPart, false, byForecast(partFactor, trustHalf)},
		{"forecast, factor 4, never", false, 0.1, false, byForecast(4, time.Hour)},
		{"forecast, no bound, 8 s", false, 0.1, false, byForecast(1000, 8*time.Second)},
		{"forecast, a quarter kept", false, 0.25, false, byForecast(4, 8*time.Second)},
		{"forecast, nothing kept", false, 0, false, byForecast(4, 8*time.Second)},
	}
}

const takenWay = "forecast, as it is taken"

func exp2(x float64) float64 { return Trust(time.Duration(-x * float64(trustHalf))) }

// free returns a region's places for its own callers, or for others.
func (w *world) free(region int, own bool, kept float64) bool {
	free := w.places[region] - w.used[region]
	for _, n := range w.lent[region] {
		free -= n
	}
	if own {
		return free > 0
	}
	return free > int(kept*float64(w.places[region]))
}

// take has a request keep a place.
func (w *world) take(region int, d time.Duration) {
	w.used[region]++
	at := w.step + int(d/modelStep)
	e := w.ends[at]
	e[region]++
	w.ends[at] = e
}

// offer is what a region tells of itself.
func (w *world) offer(region int, kept float64) int {
	return max(0, w.places[region]-w.used[region]-int(kept*float64(w.places[region])))
}

// serve places one request and reports whether it found a place.
func (w *world) serve(y way, o *outcome, from, host int) bool {
	busy := !w.free(from, true, y.kept)
	near := float64(w.used[from]) > 0.9*float64(w.places[from])
	if !busy && !(y.early && near) {
		w.take(from, modelHold)
		return true
	}
	for _, to := range y.to(w, from, host) {
		o.asks++
		if y.lends {
			w.lent[to][from]--
		} else if !w.free(to, false, y.kept) {
			o.wasted++
			continue
		}
		w.take(to, modelHold+modelTrips)
		w.sent[from][host][to]++
		return true
	}
	if !busy {
		w.take(from, modelHold)
	}
	return !busy
}

// playWay plays a way on what befalls.
func playWay(y way, b befalls, seed uint64) (o outcome) {
	w := &world{r: rand.New(rand.NewPCG(seed, 1)), ends: map[int][3]int{}}
	rate := modelUsual * modelPlaces / modelHold.Seconds() * modelStep.Seconds()
	for ; w.step < int(modelSpan/modelStep); w.step++ {
		at := time.Duration(w.step) * modelStep
		for i := range 3 {
			w.places[i] = b.places(i, at)
			w.used[i] -= w.ends[w.step][i]
		}
		w.tell(y)
		for i := range 3 {
			for n := rate * b.times(i, at); n > 0; n-- {
				if n >= 1 || w.r.Float64() < n {
					o.asked[i]++
					if w.serve(y, &o, i, w.r.IntN(modelHosts)) {
						o.served[i]++
					}
				}
			}
		}
	}
	return o
}

// tell has hosts hear of other regions: each every two seconds, of what was a second ago
// at the best, as in exchanges; or lends places anew.
func (w *world) tell(y way) {
	if y.lends {
		if w.step%30 == 0 {
			w.lent = [3][3]int{}
			for i := range 3 {
				for k := range 3 {
					if k != i {
						w.lent[i][k] = w.offer(i, y.kept) / 4 // the half is kept for what comes meanwhile
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
					w.known[i][h][k] = news{w.offer(k, y.kept), w.step - w.r.IntN(100)}
				}
			}
		}
	}
}

func loads() []befalls {
	usual := func(int, time.Duration) int { return modelPlaces }
	even := func(x float64) func(int, time.Duration) float64 { return func(int, time.Duration) float64 { return x } }
	first := func(x float64) func(int, time.Duration) float64 {
		return func(i int, at time.Duration) float64 {
			if i == 0 && at > 8*time.Second && at < 20*time.Second {
				return x
			}
			return 1
		}
	}
	lose := func(part float64) func(int, time.Duration) int {
		return func(i int, at time.Duration) int {
			if i == 0 && at > 8*time.Second && at < 20*time.Second {
				return int(part * modelPlaces)
			}
			return modelPlaces
		}
	}
	return []befalls{
		{"as usual", even(1), usual, 0.99},
		{"three times the load in one", first(3), usual, 0.95},
		{"half of the places of one gone", even(1.2), lose(0.5), 0.94},
		{"one emptied", even(1), lose(0), 0.92},
		{"all have too much", even(2.2), usual, 0.85},
		{"the load swings", func(i int, at time.Duration) float64 {
			if int(at/(3*time.Second))%3 == i {
				return 2.6
			}
			return 0.7
		}, usual, 0.95},
	}
}

// TestWays plays the ways that were weighed and checks the one that was taken.
func TestWays(t *testing.T) {
	for _, b := range loads() {
		for _, y := range ways() {
			var sum outcome
			for seed := range uint64(3) {
				o := playWay(y, b, seed+1)
				for i := range 3 {
					sum.asked[i] += o.asked[i]
					sum.served[i] += o.served[i]
				}
				sum.asks, sum.wasted = sum.asks+o.asks, sum.wasted+o.wasted
			}
			others := float64(sum.served[1]+sum.served[2]) / float64(sum.asked[1]+sum.asked[2])
			t.Logf("%-32s %-26s worst %.3f, all %.3f, others %.3f, %d asked elsewhere, %d in vain", b.name, y.name, sum.worst(), sum.all(), others, sum.asks, sum.wasted)
			if y.name == takenWay && sum.worst() < b.least {
				t.Errorf("%s: the worst region %.3f, want %.3f", b.name, sum.worst(), b.least)
			}
		}
	}
}
