package fake

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/embercove/embercove/publish"
)

// Platform is a stand-in for the service that publishes configuration
// documents and the list of hosts.
type Platform struct {
	mu       sync.Mutex
	docs     []publish.Revision
	hosts    publish.HostList
	changed  chan struct{}
	down     bool
	staleRev uint64 // if not 0, answer like a stale replica at this revision
	calls    uint64
}

// NewPlatform returns a platform that has published nothing.
func NewPlatform() *Platform { return &Platform{changed: make(chan struct{})} }

func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Publish publishes a document and returns its revision.
func (p *Platform) Publish(doc []byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	rev := uint64(1)
	if n := len(p.docs); n > 0 {
		rev = p.docs[n-1].Revision + 1
	}
	p.docs = append(p.docs, publish.Revision{Revision: rev, Document: string(doc)})
	p.notify()
	return rev
}

// SetHosts replaces the list of hosts.
func (p *Platform) SetHosts(hosts []publish.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = publish.HostList{Version: p.hosts.Version + 1, Hosts: hosts}
	p.notify()
}

// SetHostsJSON replaces the list of hosts by a JSON array.
func (p *Platform) SetHostsJSON(src []byte) error {
	var hosts []publish.Host
	if err := json.Unmarshal(src, &hosts); err != nil {
		return err
	}
	p.SetHosts(hosts)
	return nil
}

// SetDown makes the platform refuse every call.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.notify()
}

// SetStale makes the platform answer like a stale replica that stopped at
// revision rev. 0 ends this.
func (p *Platform) SetStale(rev uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.staleRev = rev
	p.notify()
}

// Calls returns the number of calls received. A long poll counts as one.
func (p *Platform) Calls() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// ServeHTTP serves reads, long polls and the /control paths.
func (p *Platform) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch q.URL.Path {
	case publish.PathConfig:
		p.serve(w, q, func(after uint64) (any, bool) {
			r, ok := p.latest()
			return r, ok && (r.Revision > after || p.staleRev > 0)
		})
	case publish.PathHosts:
		p.serve(w, q, func(after uint64) (any, bool) { return p.hosts, p.hosts.Version > after })
	case "/control/publish":
		body, _ := io.ReadAll(io.LimitReader(q.Body, publish.MaxValue))
		writeJSON(w, http.StatusOK, map[string]uint64{"revision": p.Publish(body)})
	case "/control/hosts":
		body, _ := io.ReadAll(io.LimitReader(q.Body, publish.MaxValue))
		if err := p.SetHostsJSON(body); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	case "/control/down":
		p.SetDown(q.URL.Query().Get("v") != "0")
	case "/control/stale":
		rev, _ := strconv.ParseUint(q.URL.Query().Get("rev"), 10, 64)
		p.SetStale(rev)
	case "/control/calls":
		writeJSON(w, http.StatusOK, map[string]uint64{"calls": p.Calls()})
	default:
		http.NotFound(w, q)
	}
}

func (p *Platform) latest() (publish.Revision, bool) {
	if len(p.docs) == 0 {
		return publish.Revision{}, false
	}
	if p.staleRev > 0 && p.staleRev <= uint64(len(p.docs)) {
		return p.docs[p.staleRev-1], true
	}
	return p.docs[len(p.docs)-1], true
}

// serve answers a long poll with the value that read returns, once that is newer than after.
func (p *Platform) serve(w http.ResponseWriter, q *http.Request, read func(after uint64) (any, bool)) {
	after, _ := strconv.ParseUint(q.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.URL.Query().Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	p.mu.Lock()
	p.calls++
	for {
		if p.down {
			p.mu.Unlock()
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		v, ok := read(after)
		changed, stale := p.changed, p.staleRev > 0
		p.mu.Unlock()
		if ok && !stale {
			writeJSON(w, http.StatusOK, v)
			return
		}
		if stale {
			time.Sleep(100 * time.Millisecond)
			writeJSON(w, http.StatusOK, v)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			w.WriteHeader(http.StatusNoContent)
			return
		case <-q.Context().Done():
			return
		}
		p.mu.Lock()
	}
}
