package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// pageWork is the work of a page at its runner, within the largest of the users' sheet.
const pageWork = 400 * time.Millisecond

// pageRunner is a stand-in for a runner of the plain service.
type pageRunner struct {
	id     string
	record *record
	work   time.Duration

	mu   sync.Mutex
	runs map[string]string // by attempt, how the run ended
}

// ServeHTTP implements http.Handler.
func (p *pageRunner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	attempt := q.Header.Get(words["attempt"])
	w.Header().Set(words["attempt"], attempt)
	if want := q.Header.Get(words["expected"]); want != "" && want != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if err != nil {
		return
	}
	p.record.logf("runner %s runs request %s, body of %d bytes", p.id, attempt, len(body))
	p.setRun(attempt, "running")
	select {
	case <-time.After(p.work):
	case <-q.Context().Done():
		p.record.logf("runner %s: the connection of request %s is closed while it works", p.id, attempt)
		p.setRun(attempt, "dropped")
		return
	}
	p.setRun(attempt, "done")
	w.Header().Set(words["signature"], "sig."+p.id)
	_, _ = io.WriteString(w, "page of "+attempt)
}

func (p *pageRunner) setRun(attempt, how string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs[attempt] = how
}

func (p *pageRunner) runOf(attempt string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[attempt]
}

// addPageRunners registers a runner of the plain service in each zone.
func (p *play) addPageRunners(work time.Duration) ([]*pageRunner, error) {
	var out []*pageRunner
	for i, zone := range zoneNames {
		r := &pageRunner{id: fmt.Sprintf("i-web-%d", i), record: p.record, work: work, runs: map[string]string{}}
		address, err := p.fleet.serve(r)
		if err != nil {
			return nil, err
		}
		p.fleet.register(r.id, address, zone)
		out = append(out, r)
	}
	return out, nil
}
