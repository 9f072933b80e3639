package quarantine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/embercove/embercove/request"
)

// fleet is a simulation of hosts that send requests to endpoints. One request crashes whatever
// endpoint runs it. Updates between hosts are delayed and may come twice. It advances in ticks.
type fleet struct {
	t          *rapid.T
	now        time.Time
	hosts      []*Registry
	endpoints  []int   // ticks until each is up again; 0: it is up
	started    []int64 // how often each has restarted
	crashAfter int     // ticks after which the deadly request crashes an endpoint
	activeRuns []*activeRun
	updates    []update
	holder     uint64
	deadly     request.Fingerprint
	crashes    int       // crashes caused by the deadly request
	thirdCrash time.Time // when the third was
	sent       int       // runs of it later than contactWindow after that
	blamed     map[request.Fingerprint]bool
}

const tick = 50 * time.Millisecond

// contactWindow is how long after the third crash further sends aren't counted, and maxSent how
// many sends are allowed after that: what hosts have promised to those who run the endpoints.
const (
	contactWindow = 3 * time.Second
	maxSent       = 3
)

// activeRun is a run in progress.
type activeRun struct {
	run      Run
	host     int
	endpoint int
	holder   uint64
	began    int // ticks ago
	left     int // ticks until its answer is complete
}

// update is rows in flight.
type update struct {
	to   int
	in   int // ticks
	rows []Row
}

// broadcast sends rows to all other hosts.
func (f *fleet) broadcast(from int, rows []Row) {
	for to := range f.hosts {
		if to == from || len(rows) == 0 {
			continue
		}
		for range rapid.IntRange(1, 2).Draw(f.t, "times") {
			f.updates = append(f.updates, update{to, rapid.IntRange(0, 2).Draw(f.t, "delay"), rows})
		}
	}
}

// deliver delivers the updates that are due.
func (f *fleet) deliver() {
	due := f.updates
	f.updates = nil
	for _, u := range due {
		if u.in--; u.in >= 0 {
			f.updates = append(f.updates, u)
			continue
		}
		f.broadcast(u.to, f.hosts[u.to].Apply(u.rows, f.now))
	}
}

// send has a host send a request to an endpoint, if it may: host 0 grants probes.
func (f *fleet) send(what request.Fingerprint, host, endpoint, answer int) {
	r := f.hosts[host]
	f.holder++
	switch v, _ := r.Evaluate(what, f.now); v {
	case BackingOff:
		return
	case Blamed:
		f.blamed[what] = true
		return
	case Suspect:
		ask := Ask{Request: what, Stage: Running, Endpoint: uint32(endpoint + 1), Holder: f.holder, Known: r.RowsOf(what, f.now)}
		f.hosts[0].Apply(ask.Known, f.now)
		reply := f.hosts[0].Grant(ask, f.now)
		r.Apply(reply.Known, f.now)
		if !reply.Granted {
			return
		}
	}
	if f.endpoints[endpoint] > 0 {
		f.hosts[0].EndProbe(f.holder)
		return
	}
	if what == f.deadly && f.crashes >= 3 && f.now.Sub(f.thirdCrash) > contactWindow {
		f.sent++
	}
	f.activeRuns = append(f.activeRuns, &activeRun{run: r.Begin(what, Running, 1), host: host, endpoint: endpoint, holder: f.holder, left: answer})
}

// step advances the fleet by a tick.
func (f *fleet) step() {
	f.now = f.now.Add(tick)
	f.deliver()
	for i := range f.endpoints {
		f.endpoints[i] = max(0, f.endpoints[i]-1)
	}
	down := map[int]bool{}
	for _, fl := range f.activeRuns {
		if fl.began++; fl.run.Request == f.deadly && fl.began == f.crashAfter {
			down[fl.endpoint] = true
		}
	}
	for range down {
		if f.crashes++; f.crashes == 3 {
			f.thirdCrash = f.now
		}
	}
	var left []*activeRun
	for _, fl := range f.activeRuns {
		fl.left--
		r := f.hosts[fl.host]
		switch {
		case down[fl.endpoint]:
			fl.run.Old = time.Duration(fl.began)*tick > YoungFor
			f.broadcast(fl.host, r.RecordCrash([]Run{fl.run}, f.process(fl.endpoint), "e", f.now))
		case fl.left <= 0:
			f.broadcast(fl.host, r.RecordSuccess(fl.run, f.now))
		default:
			left = append(left, fl)
			continue
		}
		f.hosts[0].Apply(r.RowsOf(fl.run.Request, f.now), f.now)
		f.hosts[0].EndProbe(fl.holder)
	}
	f.activeRuns = left
	for endpoint := range down {
		f.endpoints[endpoint] = 20
		f.started[endpoint]++
	}
	for i, r := range f.hosts {
		f.broadcast(i, r.DueRows(f.now))
	}
}

// process names the process of an endpoint.
func (f *fleet) process(endpoint int) Process {
	return ProcessOf(fmt.Sprint(endpoint), f.started[endpoint])
}

// simulateFleet simulates a fleet in which one request crashes endpoints some ticks after it began,
// beside others that are sent again and again. It returns the fleet and how many runs of that
// request can be in progress at once before anything is known of it.
func simulateFleet(t *rapid.T, crashAfter int) (f *fleet, atOnce int) {
	f = &fleet{t: t, now: start, deadly: fingerprint("deadly"), blamed: map[request.Fingerprint]bool{}, crashAfter: crashAfter}
	for i := range rapid.IntRange(1, 4).Draw(t, "hosts") {
		f.hosts = append(f.hosts, New(fmt.Sprint(i)))
	}
	f.endpoints = make([]int, rapid.IntRange(1, 6).Draw(t, "endpoints"))
	f.started = make([]int64, len(f.endpoints))
	others := rapid.IntRange(1, 12).Draw(t, "others")
	each := rapid.IntRange(2, 10).Draw(t, "each")
	senders := rapid.IntRange(1, 3).Draw(t, "copies")
	pick := func(n int, what string) int { return rapid.IntRange(0, n-1).Draw(t, what) }
	for i := range 400 {
		if i%each == 0 {
			for range senders {
				f.send(f.deadly, pick(len(f.hosts), "host"), pick(len(f.endpoints), "endpoint"), 1000)
			}
		}
		what := fingerprint(fmt.Sprint(pick(others, "other")))
		f.send(what, pick(len(f.hosts), "host"), pick(len(f.endpoints), "endpoint"), rapid.IntRange(2, 20).Draw(t, "answer"))
		f.step()
	}
	const updateTicks = 2
	return f, senders * (1 + (crashAfter+updateTicks)/each)
}

// TestFleet has one request crash endpoints as it begins. It must crash at most three, besides
// those where it already ran when the first crash became known, and none of the other requests may
// be blamed.
func TestFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, atOnce := simulateFleet(t, 2)
		for what := range f.blamed {
			if what != f.deadly {
				t.Fatalf("an innocent request was blamed: %v", f.hosts[0].RowsOf(what, f.now))
			}
		}
		if most := blameAt - 1 + atOnce; f.crashes > most || f.sent > maxSent {
			t.Fatalf("%d endpoints crashed, want at most %d; sent %d times afterwards, want at most %d", f.crashes, most, f.sent, maxSent)
		}
	})
}

// TestFleetLate has one request crash endpoints a second after it began, when mostly other requests
// have just begun. After the third crash it must be sent no more often than in TestFleet, though
// more runs of it are in progress before it is suspected.
func TestFleetLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if f, _ := simulateFleet(t, 20); f.sent > maxSent {
			t.Fatalf("%d endpoints crashed; sent %d times afterwards, want at most %d", f.crashes, f.sent, maxSent)
		}
	})
}
