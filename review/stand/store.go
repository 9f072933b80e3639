package stand

import (
	"encoding/base64"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// item is an entry of the store, or its removal.
type item struct {
	Key      string `json:"privateKey"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Made     uint64 `json:"made,omitempty"`
	Lease    uint64 `json:"lease"`
	Gone     bool   `json:"gone,omitempty"`
}

// Store stands in for the platform's store. It keeps all of its history.
type Store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{revision: 100, items: map[string]item{}, changed: make(chan struct{})}
}

// Put writes a value, or removes the key if the value is nil.
func (s *Store) Put(key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{Key: key, Revision: s.revision, Made: s.revision}
	if old, known := s.items[key]; known {
		it.Made = old.Made
	}
	if value == nil {
		it = item{Key: key, Revision: s.revision, Gone: true}
		delete(s.items, key)
	} else {
		src, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		it.Value = base64.StdEncoding.EncodeToString(src)
		s.items[key] = it
	}
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	switch q.URL.Path {
	case Word("path-range"):
		s.list(w, q)
	case Word("path-watch"):
		s.watch(w, q)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

const pageItems = 500

func (s *Store) list(w http.ResponseWriter, q *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := struct {
		Items []item `json:"items"`
		More  bool   `json:"more"`
		At    uint64 `json:"at"`
	}{Items: []item{}, At: s.revision}
	for _, k := range slices.Sorted(maps.Keys(s.items)) {
		if k <= q.FormValue("after") {
			continue
		}
		if len(out.Items) == pageItems {
			out.More = true
			break
		}
		out.Items = append(out.Items, s.items[k])
	}
	_ = json.NewEncoder(w).Encode(out)
}

func (s *Store) watch(w http.ResponseWriter, q *http.Request) {
	after, _ := strconv.ParseUint(q.FormValue("after"), 10, 64)
	ms, _ := strconv.Atoi(q.FormValue("waitTimeoutMs"))
	over := time.After(time.Duration(ms) * time.Millisecond)
	for last := false; ; {
		s.mu.Lock()
		out := struct {
			Events []item `json:"events"`
			At     uint64 `json:"at"`
		}{Events: []item{}, At: s.revision}
		for _, it := range s.history {
			if it.Revision > after {
				out.Events = append(out.Events, it)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(out.Events) > 0 || last {
			_ = json.NewEncoder(w).Encode(out)
			return
		}
		select {
		case <-changed:
		case <-over:
			last = true
		case <-q.Context().Done():
			return
		}
	}
}
