package fake

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/embercove/embercove/endpoint"
)

// App is a stand-in plain service: it answers with a line that names the
// call, after a set time.
type App struct {
	Name   string
	Takes  time.Duration
	faults faultBox
	truth  truth
}

// SetFaults replaces the faults.
func (a *App) SetFaults(f Faults) { a.faults.set(f) }

// Truth returns what happened at the stand-in.
func (a *App) Truth() []Record { return a.truth.list() }

// maxAppBody is how much of a call's body is read.
const maxAppBody = 1 << 20

// AppAnswer is what App answers a body with.
func AppAnswer(body []byte) string { return fmt.Sprintf("recorded %x\n", xxhash.Sum64(body)) }

// ServeHTTP answers calls, the state report and the control path.
func (a *App) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch q.URL.Path {
	case endpoint.PathState:
		writeJSON(w, http.StatusOK, endpoint.State{Engine: a.Name, Role: "service", Leaving: a.faults.get().Leaving})
		return
	case endpoint.PathRequests:
		writeJSON(w, http.StatusOK, endpoint.RunningList{})
		return
	case endpoint.PathAbort:
		writeJSON(w, http.StatusOK, struct{}{})
		return
	case "/control/faults":
		controlFaults(&a.faults, w, q)
		return
	case "/control/truth":
		writeJSON(w, http.StatusOK, a.Truth())
		return
	}
	body, _ := io.ReadAll(io.LimitReader(q.Body, maxAppBody))
	if a.faults.take(func(f *Faults) *int { return &f.CutBefore }) {
		hangUp(w)
		return
	}
	if a.faults.take(func(f *Faults) *int { return &f.RefuseUnvouch }) {
		refuse(w, http.StatusServiceUnavailable, "broken by fault", false)
		return
	}
	if f := a.faults.get(); f.RefuseShare >= 1 {
		refuse(w, http.StatusServiceUnavailable, "refused by fault", true)
		return
	}
	rec := a.truth.add(Record{ID: q.Header.Get(endpoint.HeaderRequestID), Role: "service", Prompt: xxhash.Sum64(body),
		Ran: true, Repeatable: q.Header.Get(endpoint.HeaderRepeatable) != "false", Leaving: a.faults.get().Leaving,
		StartedMS: time.Now().UnixMilli()})
	time.Sleep(a.Takes + time.Duration(a.faults.get().LateMillis)*time.Millisecond)
	a.truth.set(func() { rec.Finished = true })
	if a.faults.take(func(f *Faults) *int { return &f.CutAfter }) {
		hangUp(w)
		return
	}
	w.Header().Set("Content-Type", "text/plain")
	io.WriteString(w, AppAnswer(body))
}
