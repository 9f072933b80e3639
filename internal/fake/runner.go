package fake

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
)

// Runner is a stand-in for a model engine, prefill or decode. It has the memory,
// slots and rates of its endpoint in the configuration.
type Runner struct {
	spec            config.Endpoint
	kvBytesPerToken int64
	dial            endpoint.Dial
	client          *http.Client
	started         time.Time

	faults  faultState
	records recordList
	cache   *prefixCache

	mu            sync.Mutex
	fence         uint64
	role          string
	model         string
	version       string
	adapters      []string
	held          map[string]*attempt
	memoryUsed    int // in tokens
	exports       map[string]*export
	queue         []*attempt // prefill: waiting prompts; decode: the running batch
	queuedTokens  int        // prefill: tokens of the queue
	reportedState endpoint.State
	reportedAt    time.Time
	stepping      bool // stepLoop is running
	prefilling    bool // prefillLoop is running
	imports       int  // transfers in progress on the link
	incarnation   uint64
}

// NewRunner returns a stand-in for the endpoint. It uses dial to reach the
// source of a transfer; nil means TCP.
func NewRunner(spec config.Endpoint, kvBytesPerToken int64, version string, dial endpoint.Dial) *Runner {
	tr := &http.Transport{DialContext: dial, IdleConnTimeout: 5 * time.Second}
	return &Runner{spec: spec, kvBytesPerToken: kvBytesPerToken, dial: dial, client: &http.Client{Transport: tr},
		started: time.Now(), cache: newPrefixCache(cacheTokens / endpoint.BlockTokens), role: string(spec.Role), model: spec.Model,
		version: version, adapters: spec.Adapters, held: map[string]*attempt{}, exports: map[string]*export{},
		incarnation: uint64(time.Now().UnixMilli())}
}

// cacheTokens is the size of a prefill engine's prefix cache, in tokens.
const cacheTokens = 400_000

// Close closes the idle connections to other stand-ins.
func (r *Runner) Close() { r.client.CloseIdleConnections() }

// SetFaults replaces the faults to inject.
func (r *Runner) SetFaults(f Faults) { r.faults.set(f) }

// Version returns the model version that the runner serves.
func (r *Runner) Version() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.currentVersion()
}

// Records returns the records of all attempts at the stand-in.
func (r *Runner) Records() []Record { return r.records.snapshot() }

// Held returns the number of attempts that hold memory, and how many tokens they hold.
func (r *Runner) Held() (attempts, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.held), r.memoryUsed
}

// ServeHTTP serves the engine's protocol and the /control paths.
func (r *Runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch path := q.URL.Path; {
	case path == endpoint.PathCompletions:
		r.complete(w, q)
	case path == endpoint.PathState:
		writeJSON(w, http.StatusOK, r.laggedState())
	case path == endpoint.PathRequests:
		writeJSON(w, http.StatusOK, r.runningList())
	case path == endpoint.PathAbort:
		r.abort(w, q)
	case path == endpoint.PathCacheEvents:
		after, _ := strconv.ParseUint(q.URL.Query().Get("after"), 10, 64)
		writeJSON(w, http.StatusOK, r.cache.eventsAfter(after))
	case path == endpoint.PathOrders:
		r.applyOrder(w, q)
	case strings.HasPrefix(path, pathKV):
		r.serveKV(w, q)
	case path == "/control/faults":
		controlFaults(&r.faults, w, q)
	case path == "/control/truth":
		writeJSON(w, http.StatusOK, r.Records())
	default:
		http.NotFound(w, q)
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func writeProblem(w http.ResponseWriter, status int, cause string, notRun bool) {
	writeJSON(w, status, endpoint.Problem{Error: cause, NotRun: notRun})
}

// closeConn closes the connection without an answer.
func closeConn(w http.ResponseWriter) {
	if hj, ok := w.(http.Hijacker); ok {
		if c, _, err := hj.Hijack(); err == nil {
			c.Close()
		}
	}
}

func (r *Runner) complete(w http.ResponseWriter, q *http.Request) {
	var comp endpoint.Completion
	if err := json.NewDecoder(q.Body).Decode(&comp); err != nil {
		writeProblem(w, http.StatusBadRequest, err.Error(), true)
		return
	}
	if r.faults.consume(func(f *Faults) *int { return &f.CutBefore }) {
		closeConn(w)
		return
	}
	f := r.faults.get()
	if f.RefuseShare > 0 && rand.Float64() < f.RefuseShare {
		writeProblem(w, http.StatusServiceUnavailable, "refused by fault", true)
		return
	}
	if r.faults.consume(func(f *Faults) *int { return &f.RefuseUnconfirmed }) {
		writeProblem(w, http.StatusInternalServerError, "broken by fault", false)
		return
	}
	if cause := r.mismatch(q.Header.Get(endpoint.HeaderVersion), comp); cause != "" {
		writeProblem(w, http.StatusConflict, cause, true)
		return
	}
	if comp.Transfer != nil && comp.Transfer.RemoteDecode {
		r.prefill(w, q, comp)
		return
	}
	r.decode(w, q, comp)
}

// mismatch returns why the runner's version, model or role doesn't fit a call, or "" if they do.
func (r *Runner) mismatch(version string, comp endpoint.Completion) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.currentVersion()
	if version != "" && version != v {
		return "version is " + v
	}
	if comp.Model != r.model && !slices.Contains(r.adapters, comp.Model) {
		return "model is " + r.model
	}
	want := string(config.Decode)
	if comp.Transfer != nil && comp.Transfer.RemoteDecode {
		want = string(config.Prefill)
	}
	if r.role != want {
		return "role is " + r.role
	}
	return ""
}

func (r *Runner) currentVersion() string {
	if f := r.faults.get(); f.WrongVersion != "" {
		return f.WrongVersion
	}
	return r.version
}
