package fake

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/embercove/embercove/endpoint"
)

func controlFaults(box *faultBox, w http.ResponseWriter, q *http.Request) {
	var f Faults
	if err := json.NewDecoder(q.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	box.set(f)
	writeJSON(w, http.StatusOK, f)
}

func (r *Runner) abort(w http.ResponseWriter, q *http.Request) {
	var a endpoint.Abort
	if err := json.NewDecoder(q.Body).Decode(&a); err != nil {
		refuse(w, http.StatusBadRequest, err.Error(), true)
		return
	}
	if r.faults.get().LoseCancels {
		writeJSON(w, http.StatusOK, struct{}{})
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, h := range r.held {
		if id == a.ID || strings.HasPrefix(id, a.ID+".") {
			h.abort()
		}
	}
	for _, e := range r.exports {
		if e.attempt == a.ID || strings.HasPrefix(e.attempt, a.ID+".") {
			r.dropExport(e)
		}
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (r *Runner) order(w http.ResponseWriter, q *http.Request) {
	var o endpoint.Order
	if err := json.NewDecoder(io.LimitReader(q.Body, 1<<20)).Decode(&o); err != nil {
		refuse(w, http.StatusBadRequest, err.Error(), true)
		return
	}
	if r.faults.take(func(f *Faults) *int { return &f.DropOrders }) {
		writeJSON(w, http.StatusOK, struct{}{})
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	checks := r.spec.ChecksFence && !r.faults.get().IgnoreFences
	if checks && o.Fence < r.fence {
		refuse(w, http.StatusConflict, "fence is "+strconv.FormatUint(r.fence, 10), true)
		return
	}
	r.fence, r.role, r.model, r.version, r.adapters = o.Fence, o.Role, o.Model, o.Version, o.Adapters
	writeJSON(w, http.StatusOK, struct{}{})
}

// lagged returns the load as it was some time ago.
func (r *Runner) lagged() endpoint.State {
	f := r.faults.get()
	r.mu.Lock()
	defer r.mu.Unlock()
	lag := time.Duration(f.LagMillis) * time.Millisecond
	if r.reported.IsZero() || time.Since(r.reported) >= lag {
		r.reported = time.Now()
		r.report = endpoint.State{MemoryUsed: r.used, Running: len(r.held), QueuedTokens: r.queued}
	}
	s := r.report
	s.Engine, s.Incarnation, s.Role, s.Model = r.spec.Name, r.incarn, r.role, r.model
	s.Version, s.Adapters, s.Fence, s.Leaving = r.currentVersion(), r.adapters, r.fence, f.Leaving
	return s
}

func (r *Runner) list() endpoint.RunningList {
	r.mu.Lock()
	defer r.mu.Unlock()
	var l endpoint.RunningList
	for id, h := range r.held {
		l.Requests = append(l.Requests, endpoint.Running{ID: id, Tokens: h.tokens, AgeMillis: int(time.Since(h.since).Milliseconds())})
	}
	return l
}
