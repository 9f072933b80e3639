package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The case gateway-frozen: the first packet of a host's connection to a decode runner is lost, so that the
// host is connected by way of another one. That one freezes in the middle of a stream that may be resumed.

const (
	streamEvents = 170
	eventStep    = 45 * time.Millisecond
	prefillTime  = 20 * time.Millisecond
	// eventTokens is how many tokens an event holds, and streamTokens the most out of a request.
	eventTokens  = 63
	streamTokens = streamEvents * eventTokens
	// capacityTokens is the memory of a model runner.
	capacityTokens = 89474
	// frozenFor is the longest freeze of the users' site.
	frozenFor = 3500 * time.Millisecond
	// freezeAfter is from the sending of the request to the freeze: longer than the users' window of contact,
	// so that the lost packet is no excuse any more.
	freezeAfter = 3200 * time.Millisecond
	// lookAfter is from the sending of the request until it is known how the host is connected.
	lookAfter = 500 * time.Millisecond
	// handOver is how long the earlier runner may still work on a request that goes on elsewhere.
	handOver = 400 * time.Millisecond
)

// modelRun is a runner's work on a request.
type modelRun struct {
	runner     string
	resumes    bool
	began      time.Time
	ended      time.Time // zero: it still works
	how        string
	lastWrote  int
	firstEvent int
}

// modelRunner is a stand-in for a prefill or decode runner.
type modelRunner struct {
	id, stage, address string
	play               *play
	beforeAnswer       func(attempt string) // called before a prefill is answered

	mu   sync.Mutex
	runs map[string]*modelRun
}

// ServeHTTP implements http.Handler.
func (m *modelRunner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	_, _ = io.Copy(io.Discard, q.Body)
	attempt := q.Header.Get(words["attempt"])
	switch {
	case q.URL.Path == words["report"]:
		m.report(w)
		return
	case strings.HasPrefix(q.URL.Path, words["handlePath"]), q.URL.Path == words["order"]:
		return
	case strings.HasPrefix(q.URL.Path, "/api/"):
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set(words["attempt"], attempt)
	wrongStage := (q.Header.Get(words["stage"]) == "prefill") != (m.stage == "prefill")
	if want := q.Header.Get(words["expected"]); want != "" && want != m.id || wrongStage {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if isLarger(q.Header.Get(words["usage"])) {
		m.play.record.logf("runner %s rejects request %s, which is larger than its memory", m.id, attempt)
		w.Header().Set(words["notRun"], "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if m.stage == "prefill" {
		time.Sleep(prefillTime)
		m.beforeAnswer(attempt)
		_ = json.NewEncoder(w).Encode(map[string]any{words["handleField"]: "h-" + attempt, "tokenCount": 1000, "version": 1})
		return
	}
	m.decode(w, q, attempt)
}

// isLarger reports whether a request of some tokens in and out is larger than a runner's memory.
func isLarger(usage string) bool {
	in, out, _ := strings.Cut(usage, ",")
	prompt, _ := strconv.ParseFloat(in, 64)
	mostOut, _ := strconv.ParseFloat(out, 64)
	return prompt+mostOut > capacityTokens
}

// report answers with the runner's own state.
func (m *modelRunner) report(w http.ResponseWriter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	runs := [][]any{}
	for attempt, run := range m.runs {
		if run.ended.IsZero() {
			runs = append(runs, []any{attempt, 1000 + eventTokens*run.lastWrote, run.lastWrote, 2})
		}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{words["stageField"]: m.stage, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
		"utilization": false, "sequenceNumber": 0, "queuedRequests": 0, "activeRequests": len(runs), "kvUsedTokens": streamTokens * len(runs), "kvTotalTokens": capacityTokens,
		words["handlesField"]: 0, "runnerState": "ready", "runs": runs})
}

func (m *modelRunner) decode(w http.ResponseWriter, q *http.Request, attempt string) {
	last, _ := strconv.Atoi(q.Header.Get(words["lastEvent"]))
	run := &modelRun{runner: m.id, resumes: last > 0, began: time.Now(), firstEvent: last + 1}
	m.mu.Lock()
	m.runs[attempt] = run
	m.mu.Unlock()
	m.play.record.logf("runner %s begins to work on request %s, from event %d", m.id, attempt, last+1)
	how := "whole"
	w.Header().Set(words["signature"], "sig."+m.id)
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	for i := last + 1; i <= streamEvents; i++ {
		select {
		case <-q.Context().Done():
			how = "its connection was closed"
		case <-time.After(eventStep):
		}
		if q.Context().Err() != nil {
			break
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		if rc.Flush() != nil {
			how = "its connection was closed"
			break
		}
		m.mu.Lock()
		run.lastWrote = i
		m.mu.Unlock()
	}
	m.mu.Lock()
	run.ended, run.how = time.Now(), how
	m.mu.Unlock()
	m.play.record.logf("runner %s ends its work on request %s after event %d: %s", m.id, attempt, run.lastWrote, how)
}

// runOf returns a copy of the runner's work on a request; nil: none.
func (m *modelRunner) runOf(attempt string) *modelRun {
	m.mu.Lock()
	defer m.mu.Unlock()
	run := m.runs[attempt]
	if run == nil {
		return nil
	}
	out := *run
	return &out
}

// putModelConfig writes a configuration with a route of streams that may be resumed.
func (f *fleet) putModelConfig() {
	f.store.put("op/config", map[string]any{
		"version": 1,
		"routes": []any{pageRoute(), map[string]any{"name": "answer", "host": "h.example", "pathPrefix": "/answer/", "routeKind": "streaming", "service": "llm",
			"timeoutMs": 14000, "targetLatencyMs": 900, "itlTargetMs": 300, "priority": 1, "maxAttempts": 2, "resumable": true}},
		"services": []any{pageService(), map[string]any{"name": "llm", "connectionLimit": 360, "healthPath": "/health",
			"inferenceEngine": map[string]any{"slots": 64, "kvCapacityTokens": capacityTokens, "kvTokenBytes": 18432, "linkBandwidthMbps": 700000, "kvRetentionS": 0.5,
				"stride": eventTokens, "roleSwitchS": 6, "models": []any{map[string]any{"name": "m"}}}}},
		"limits": limits,
	})
}

// registerModel writes the entry of a model runner.
func (f *fleet) registerModel(m *modelRunner, zone string) {
	f.store.put("servers/"+m.id, map[string]any{"service": "llm", "address": m.address, "zone": zone, "version": "v1", "slots": 64, "runnerState": "ready",
		words["coldField"]: 0, "sequenceNumber": 0, words["stageField"]: m.stage, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}})
}

// stream is a client that reads one stream, event by event.
func (p *play) stream(ctx context.Context, address, attempt, mostOut string) (events int, whole bool, err error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/answer/1", strings.NewReader("question"))
	if err != nil {
		return 0, false, err
	}
	q.Host = "h.example"
	q.Header.Set(words["attempt"], attempt)
	q.Header.Set(words["deadline"], "14000")
	q.Header.Set(words["model"], "m")
	q.Header.Set(words["usage"], "1000,"+mostOut)
	q.Header.Set(words["prompt"], "5c1e07a2:200,91bd3f06:800")
	client := &http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(q)
	if err != nil {
		return 0, false, err
	}
	defer res.Body.Close()
	src, err := io.ReadAll(res.Body)
	return strings.Count(string(src), "\n\n"), err == nil, err
}

func playGatewayFrozen(p *play) (broken bool, err error) {
	var decodes []*modelRunner
	var listeners []*lossyListener
	attempt := "stream-0"
	lose := func(string) {}
	prefill := &modelRunner{id: "i-p-0", stage: "prefill", play: p, runs: map[string]*modelRun{}, beforeAnswer: func(a string) { lose(a) }}
	for i := range 3 {
		l, err := newLossyListener()
		if err != nil {
			return false, err
		}
		m := &modelRunner{id: fmt.Sprintf("i-d-%d", i), stage: "decode", play: p, runs: map[string]*modelRun{}, address: l.Addr().String()}
		srv := &http.Server{Handler: m}
		go func() { _ = srv.Serve(l) }()
		defer srv.Close()
		decodes, listeners = append(decodes, m), append(listeners, l)
		p.fleet.registerModel(m, zoneNames[1+i%2]) // the links between zones lose packets
	}
	p.fleet.perZone = 4
	if prefill.address, err = p.fleet.serve(prefill); err != nil {
		return false, err
	}
	p.fleet.registerModel(prefill, zoneNames[0])
	p.fleet.putModelConfig()
	if err := p.start(); err != nil {
		return false, err
	}
	tries := 0
	if p.trouble {
		lose = func(string) { p.dropAt(listeners, heldFor[tries%len(heldFor)]) }
	}
	h := p.fleet.hosts[0]
	var gateway *host
	for ; tries < maxTries; tries++ {
		attempt = fmt.Sprintf("stream-%d", tries)
		p.record.logf("client: request %s is sent to %s", attempt, h.name)
		done := make(chan struct{})
		ctx, leave := context.WithCancel(context.Background())
		sent := time.Now()
		go func() {
			defer close(done)
			events, whole, err := p.stream(ctx, h.address(portCallers), attempt, strconv.Itoa(streamTokens))
			p.record.logf("client: request %s ends with %d events, whole %v, error %v", attempt, events, whole, err)
		}()
		time.Sleep(lookAfter)
		gateway = p.gatewayOf(h, attempt)
		switch {
		case gateway != nil && p.trouble:
			p.record.logf("%s is connected by way of %s for request %s", h.name, gateway.name, attempt)
			time.Sleep(time.Until(sent.Add(freezeAfter)))
			p.freeze(gateway)
		case p.trouble:
			leave() // the packet wasn't lost
		}
		<-done
		leave()
		if gateway != nil || !p.trouble {
			break
		}
	}
	if gateway == nil && p.trouble {
		return false, fmt.Errorf("no request was passed on by another host")
	}
	time.Sleep(500 * time.Millisecond)
	return p.worksTwice(decodes, attempt), nil
}

// dropAt drops the opening packets of connections to all of the runners for the time held, from now on.
func (p *play) dropAt(listeners []*lossyListener, held time.Duration) {
	ready := make(chan struct{}, len(listeners))
	for _, l := range listeners {
		go func() {
			if err := l.drop(held, func() { ready <- struct{}{} }); err != nil {
				p.record.logf("no packet lost: %v", err)
				ready <- struct{}{}
			}
		}()
	}
	for range listeners {
		<-ready
	}
}

// freeze stops a host's process for frozenFor.
func (p *play) freeze(h *host) {
	p.record.logf("%s freezes", h.name)
	h.signal(syscall.SIGSTOP)
	time.AfterFunc(frozenFor, func() {
		h.signal(syscall.SIGCONT)
		p.record.logf("%s wakes", h.name)
	})
}

// worksTwice reports whether a runner still worked on a request handOver after it went on at another one.
func (p *play) worksTwice(runners []*modelRunner, attempt string) (twice bool) {
	for _, later := range runners {
		l := later.runOf(attempt)
		if l == nil || !l.resumes {
			continue
		}
		for _, earlier := range runners {
			e := earlier.runOf(attempt)
			if earlier == later || e == nil || !e.began.Before(l.began) {
				continue
			}
			if over := e.ended.Sub(l.began); e.ended.IsZero() || over > handOver {
				p.record.logf("TWICE: request %s went on at %s from event %d, and %s worked on it for %.2f s more, up to event %d", attempt, later.id, l.firstEvent, earlier.id, over.Seconds(), e.lastWrote)
				twice = true
			}
		}
	}
	return twice
}
