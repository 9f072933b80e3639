package stand

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Server stands in for a runner: a model runner if it has a stage, else a plain service.
type Server struct {
	ID, Address, Zone, Stage string
	record                   *Record
	// Run answers a request that is run.
	Run func(w http.ResponseWriter, q *http.Request, s *Server)

	mu      sync.Mutex
	runs    map[string]int
	handles int
}

// AddServer starts a server and registers it.
func (f *Fleet) AddServer(id, service, zone, stage string, run func(w http.ResponseWriter, q *http.Request, s *Server)) (*Server, error) {
	s := &Server{ID: id, Zone: zone, Stage: stage, record: f.record, Run: run, runs: map[string]int{}}
	address, err := f.Serve(s)
	if err != nil {
		return nil, err
	}
	s.Address = address
	slots := 6
	if stage != "" {
		slots = 64
	}
	f.Register(id, Entry(service, address, zone, stage, "ready", slots))
	return s, nil
}

// AddServers starts a small deployment's servers: one prefill runner, two decode runners and one plain
// server in each zone.
func (f *Fleet) AddServers(engine, plain func(w http.ResponseWriter, q *http.Request, s *Server)) ([]*Server, error) {
	var out []*Server
	for i, zone := range zones {
		for k, stage := range []string{"prefill", "decode", "decode", ""} {
			service, run := EngineService, engine
			if stage == "" {
				service, run = PlainService, plain
			}
			s, err := f.AddServer(fmt.Sprintf("i-%d%d", i, k), service, zone, stage, run)
			if err != nil {
				return nil, err
			}
			out = append(out, s)
		}
	}
	return out, nil
}

// Runs returns how often a request ran here.
func (s *Server) Runs(attempt string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[attempt]
}

// Printf writes a line of the record that names the server.
func (s *Server) Printf(format string, args ...any) {
	s.record.Printf("server %s: %s", s.ID, fmt.Sprintf(format, args...))
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	switch {
	case q.URL.Path == Word("path-report"):
		writeJSON(w, map[string]any{Word("field-stage"): s.Stage, Word("field-state"): "ready", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
			"utilization": false, "sequenceNumber": 0, "queuedRequests": 0, "activeRequests": 0, "kvUsedTokens": 0, "kvTotalTokens": 89474, Word("field-handles"): 0, "runs": []any{}})
		return
	case q.URL.Path == Word("path-events"):
		writeJSON(w, map[string]any{"epoch": 1, "nextPageToken": 0, "lost": false, "events": []any{}})
		return
	case q.URL.Path == Word("path-list"):
		writeJSON(w, map[string]any{"epoch": 1, "nextPageToken": 0, "held": []any{}})
		return
	case q.URL.Path == Word("path-order"):
		w.WriteHeader(http.StatusAccepted)
		return
	case strings.HasPrefix(q.URL.Path, Word("path-handle")):
		return
	case q.URL.Path == "/health":
		w.Header().Set(Word("own-instance"), s.ID)
		return
	}
	attempt := q.Header.Get(Word("attempt"))
	w.Header().Set(Word("attempt"), attempt)
	if want := q.Header.Get(Word("instance")); want != "" && want != s.ID {
		w.Header().Set(Word("own-instance"), s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if q.Header.Get(Word("stage")) == "prefill" {
		s.prefill(w, attempt)
		return
	}
	if s.Stage == "prefill" {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.runs[attempt]++
	s.mu.Unlock()
	s.Printf("runs %s %s %s, body of %d bytes, %s %q, last event %q", attempt, q.Method, q.URL.RequestURI(), len(body), Word("deadline"), q.Header.Get(Word("deadline")),
		q.Header.Get(Word("last-event")))
	w.Header().Set(Word("signature"), s.ID)
	s.Run(w, q, s)
}

// prefillTime is how long a prompt is read.
const prefillTime = 20 * time.Millisecond

func (s *Server) prefill(w http.ResponseWriter, attempt string) {
	if s.Stage != "prefill" {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	time.Sleep(prefillTime)
	s.mu.Lock()
	s.handles++
	handle := fmt.Sprintf("%s%d", strings.ReplaceAll(s.ID, "-", ""), s.handles)
	s.mu.Unlock()
	s.Printf("reads the prompt of %s", attempt)
	writeJSON(w, map[string]any{Word("field-handle"): handle, Word("field-tokens"): 1460, "version": 1})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
