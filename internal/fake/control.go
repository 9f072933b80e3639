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

func controlFaults(faults *faultState, w http.ResponseWriter, q *http.Request) {
	var f Faults
	if err := json.NewDecoder(q.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	faults.set(f)
	writeJSON(w, http.StatusOK, f)
}

func (r *Runner) abort(w http.ResponseWriter, q *http.Request) {
	var req endpoint.Abort
	if err := json.NewDecoder(q.Body).Decode(&req); err != nil {
		writeProblem(w, http.StatusBadRequest, err.Error(), true)
		return
	}
	if r.faults.get().LoseCancels {
		writeJSON(w, http.StatusOK, struct{}{})
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, a := range r.held {
		if id == req.ID || strings.HasPrefix(id, req.ID+".") {
			a.abort()
		}
	}
	for _, e := range r.exports {
		if e.attemptID == req.ID || strings.HasPrefix(e.attemptID, req.ID+".") {
			r.dropExport(e)
		}
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (r *Runner) applyOrder(w http.ResponseWriter, q *http.Request) {
	var o endpoint.Order
	if err := json.NewDecoder(io.LimitReader(q.Body, 1<<20)).Decode(&o); err != nil {
		writeProblem(w, http.StatusBadRequest, err.Error(), true)
		return
	}
	if r.faults.consume(func(f *Faults) *int { return &f.DropOrders }) {
		writeJSON(w, http.StatusOK, struct{}{})
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	checks := r.spec.ChecksFence && !r.faults.get().IgnoreFences
	if checks && o.Fence < r.fence {
		writeProblem(w, http.StatusConflict, "fence is "+strconv.FormatUint(r.fence, 10), true)
		return
	}
	r.fence, r.role, r.model, r.version, r.adapters = o.Fence, o.Role, o.Model, o.Version, o.Adapters
	writeJSON(w, http.StatusOK, struct{}{})
}

// laggedState returns the state with the load as it was up to LagMillis ago.
func (r *Runner) laggedState() endpoint.State {
	f := r.faults.get()
	r.mu.Lock()
	defer r.mu.Unlock()
	lag := time.Duration(f.LagMillis) * time.Millisecond
	if r.reportedAt.IsZero() || time.Since(r.reportedAt) >= lag {
		r.reportedAt = time.Now()
		r.reportedState = endpoint.State{MemoryUsed: r.memoryUsed, Running: len(r.held), QueuedTokens: r.queuedTokens}
	}
	s := r.reportedState
	s.Engine, s.Incarnation, s.Role, s.Model = r.spec.Name, r.incarnation, r.role, r.model
	s.Version, s.Adapters, s.Fence, s.Leaving = r.currentVersion(), r.adapters, r.fence, f.Leaving
	return s
}

func (r *Runner) runningList() endpoint.RunningList {
	r.mu.Lock()
	defer r.mu.Unlock()
	var l endpoint.RunningList
	for id, a := range r.held {
		l.Requests = append(l.Requests, endpoint.Running{ID: id, Tokens: a.memoryTokens, AgeMillis: int(time.Since(a.admitted).Milliseconds())})
	}
	return l
}
