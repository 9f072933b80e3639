package fake

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/embercove/embercove/endpoint"
)

// App is a stand-in for a plain service. It answers each call after a fixed
// time, with a line that contains the hash of the call's body.
type App struct {
	Name    string
	Latency time.Duration
	faults  faultState
	records recordList
}

// SetFaults replaces the faults to inject.
func (a *App) SetFaults(f Faults) { a.faults.set(f) }

// Records returns the records of all attempts at the stand-in.
func (a *App) Records() []Record { return a.records.snapshot() }

// maxAppBody is the most that is read of a call's body, in bytes.
const maxAppBody = 1 << 20

// AppAnswer returns App's answer to a body.
func AppAnswer(body []byte) string { return fmt.Sprintf("recorded %x\n", xxhash.Sum64(body)) }

// ServeHTTP serves calls, the endpoint protocol and the /control paths.
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
		writeJSON(w, http.StatusOK, a.Records())
		return
	}
	body, _ := io.ReadAll(io.LimitReader(q.Body, maxAppBody))
	if a.faults.consume(func(f *Faults) *int { return &f.CutBefore }) {
		closeConn(w)
		return
	}
	if a.faults.consume(func(f *Faults) *int { return &f.RefuseUnconfirmed }) {
		writeProblem(w, http.StatusServiceUnavailable, "broken by fault", false)
		return
	}
	if f := a.faults.get(); f.RefuseShare >= 1 {
		writeProblem(w, http.StatusServiceUnavailable, "refused by fault", true)
		return
	}
	rec := a.records.add(Record{ID: q.Header.Get(endpoint.HeaderRequestID), Role: "service", Prompt: xxhash.Sum64(body),
		Ran: true, Repeatable: q.Header.Get(endpoint.HeaderRepeatable) != "false", Leaving: a.faults.get().Leaving,
		StartedMS: time.Now().UnixMilli()})
	time.Sleep(a.Latency + time.Duration(a.faults.get().DelayMillis)*time.Millisecond)
	a.records.update(func() { rec.Finished = true })
	if a.faults.consume(func(f *Faults) *int { return &f.CutAfter }) {
		closeConn(w)
		return
	}
	w.Header().Set("Content-Type", "text/plain")
	io.WriteString(w, AppAnswer(body))
}
