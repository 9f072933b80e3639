package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeItem is an entry of the store, or its removal.
type storeItem struct {
	Key      string `json:"privateKey"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Made     uint64 `json:"made,omitempty"`
	Lease    int    `json:"lease"`
	Gone     bool   `json:"gone,omitempty"`
}

// store is a stand-in for the platform's store. It keeps its whole history.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 1, items: map[string]storeItem{}, changed: make(chan struct{})}
}

// put writes an item; a nil value removes it.
func (s *store) put(key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := storeItem{Key: key, Revision: s.revision, Made: s.revision}
	if old, known := s.items[key]; known {
		it.Made = old.Made
	}
	if value == nil {
		it = storeItem{Key: key, Revision: s.revision, Gone: true}
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
func (s *store) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	switch q.URL.Path {
	case words["range"]:
		s.serveRange(w, q)
	case words["watch"]:
		s.serveWatch(w, q)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveRange(w http.ResponseWriter, q *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []storeItem{}
	for key, it := range s.items {
		if key > q.FormValue("after") {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "more": false, "at": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, q *http.Request) {
	after, _ := strconv.ParseUint(q.FormValue("after"), 10, 64)
	ms, _ := strconv.Atoi(q.FormValue("waitTimeoutMs"))
	end := time.After(time.Duration(ms) * time.Millisecond)
	for {
		s.mu.Lock()
		events, at, changed := []storeItem{}, s.revision, s.changed
		for _, it := range s.history {
			if it.Revision > after {
				events = append(events, it)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-end:
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "at": at})
			return
		case <-q.Context().Done():
			return
		}
	}
}
