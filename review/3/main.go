// Case 3: a change of the configuration adds a route with streams of a plain service.
package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/embercove/embercove/review/stand"
)

const (
	events     = 30
	eventPause = 200 * time.Millisecond // the routes allow 300 ms
	requests   = 24                     // on each route, one each sendGap
	sendGap    = 500 * time.Millisecond
	// patience is the longest gap that a client of a stream bears: four times the objective of 900 ms.
	patience = 3600 * time.Millisecond
	// steadyAfter is the time from the change until its route is used: configApplyMs and contactWindowMs.
	steadyAfter = stand.ApplyBound + 3*time.Second
	minRequests = 20
	minShare    = 0.25
)

func main() { stand.Main("3", play) }

// served counts the requests of a route.
type served struct{ sent, served, ran atomic.Int64 }

func (s *served) share() float64 { return float64(s.served.Load()) / float64(max(1, s.sent.Load())) }

func play(f *stand.Fleet, r *stand.Record, trouble bool) (broken bool, err error) {
	stream := func(w http.ResponseWriter, q *http.Request, s *stand.Server) {
		stand.Stream(w, q, s, events, func() bool { return stand.Pause(q, eventPause) })
	}
	servers, err := f.AddServers(stream, stream)
	if err != nil {
		return false, err
	}
	first := stand.Route("classify", "/classify/", "streaming", stand.EngineService, 14*time.Second, 2, true)
	added := stand.Route("notes", "/notes/", "streaming", stand.PlainService, 14*time.Second, 2, true)
	f.Configure(7, first)
	if err := f.Start(); err != nil {
		return false, err
	}
	if trouble {
		f.Configure(12, first, added)
		r.Printf("the store has acknowledged version 12, which adds the route /notes/ to the service %s", stand.PlainService)
	}
	time.Sleep(steadyAfter)
	var onFirst, onAdded served
	var wg sync.WaitGroup
	for i := range requests {
		h := f.Hosts[i%len(f.Hosts)]
		wg.Go(func() { client(r, h, "/classify/2f", stand.ID(0, i), servers, &onFirst) })
		if trouble {
			wg.Go(func() { client(r, h, "/notes/2f", stand.ID(1, i), servers, &onAdded) })
		}
		time.Sleep(sendGap)
	}
	wg.Wait()
	r.Printf("route of the first version: %d of %d served, %d ran", onFirst.served.Load(), onFirst.sent.Load(), onFirst.ran.Load())
	r.Printf("added route: %d of %d served, %d ran", onAdded.served.Load(), onAdded.sent.Load(), onAdded.ran.Load())
	if onFirst.served.Load() == 0 {
		return false, stand.ErrNoTraffic
	}
	broken = onAdded.sent.Load() >= minRequests && onAdded.share() < minShare*onFirst.share()
	if broken {
		r.Printf("CONFIG: requests on the added route are served less than a quarter as often as those on the first one")
	}
	return broken, nil
}

// client sends one request for a stream, and leaves when nothing comes for longer than its patience.
func client(r *stand.Record, h *stand.Host, path, attempt string, servers []*stand.Server, t *served) {
	t.sent.Add(1)
	c, err := stand.Dial(h)
	if err != nil {
		r.Printf("client: no connection to %s: %v", h.Name, err)
		return
	}
	defer c.Close()
	began := time.Now()
	r.Printf("client: sends %s %s to %s", attempt, path, h.Name)
	q := stand.Prompted(path, attempt, events)
	if err := c.Send(q); err != nil {
		r.Printf("client: %s: %v", attempt, err)
		return
	}
	a := c.Receive(q.Method, patience)
	runs := 0
	for _, s := range servers {
		runs += s.Runs(attempt)
	}
	if runs > 0 {
		t.ran.Add(1)
	}
	ids := stand.EventIDs(a.Body)
	got, _ := stand.FirstGap(ids)
	whole := a.Err == nil && a.Status == http.StatusOK && len(ids) == events && got == 0
	if whole {
		t.served.Add(1)
	}
	r.Printf("client: %s gets %v, %d events, after %v; it ran %d times", attempt, a, len(ids), time.Since(began).Round(time.Millisecond), runs)
}
