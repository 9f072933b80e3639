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

// Runner is a stand-in model engine: prefill or decode. Its sizes are those
// of the endpoint in the configuration.
type Runner struct {
	spec   config.Endpoint
	kvByte int64
	dial   endpoint.Dial
	peers  *http.Client
	born   time.Time

	faults faultBox
	truth  truth
	cache  *prefixCache

	mu       sync.Mutex
	fence    uint64
	role     string
	model    string
	version  string
	adapters []string
	held     map[string]*holding
	used     int // tokens of memory held
	exports  map[string]*export
	waiting  []*holding // prefill: not yet read
	queued   int        // tokens of waiting prompts
	report   endpoint.State
	reported time.Time
	steps    bool // the decode loop runs
	reading  bool // the prefill loop runs
	imports  int  // transfers in progress on the link
	incarn   uint64
}

// NewRunner returns a stand-in for the endpoint. dial is how it reaches the
// source of a transfer; nil uses TCP.
func NewRunner(spec config.Endpoint, kvBytesPerToken int64, version string, dial endpoint.Dial) *Runner {
	tr := &http.Transport{DialContext: dial, IdleConnTimeout: 5 * time.Second}
	return &Runner{spec: spec, kvByte: kvBytesPerToken, dial: dial, peers: &http.Client{Transport: tr},
		born: time.Now(), cache: newPrefixCache(cacheTokens / endpoint.BlockTokens), role: string(spec.Role), model: spec.Model,
		version: version, adapters: spec.Adapters, held: map[string]*holding{}, exports: map[string]*export{},
		incarn: uint64(time.Now().UnixMilli())}
}

// cacheTokens is the size of a prefill engine's prefix cache.
const cacheTokens = 400_000

// Close drops the connections that the stand-in keeps to others.
func (r *Runner) Close() { r.peers.CloseIdleConnections() }

// SetFaults replaces the faults.
func (r *Runner) SetFaults(f Faults) { r.faults.set(f) }

// Version returns the model version that the runner is at.
func (r *Runner) Version() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.currentVersion()
}

// Truth returns what happened at the stand-in.
func (r *Runner) Truth() []Record { return r.truth.list() }

// Held returns the number of attempts that hold memory, and their tokens.
func (r *Runner) Held() (attempts, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.held), r.used
}

// ServeHTTP speaks the engine's protocol and the control path.
func (r *Runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch path := q.URL.Path; {
	case path == endpoint.PathCompletions:
		r.complete(w, q)
	case path == endpoint.PathState:
		writeJSON(w, http.StatusOK, r.lagged())
	case path == endpoint.PathRequests:
		writeJSON(w, http.StatusOK, r.list())
	case path == endpoint.PathAbort:
		r.abort(w, q)
	case path == endpoint.PathCacheEvents:
		after, _ := strconv.ParseUint(q.URL.Query().Get("after"), 10, 64)
		writeJSON(w, http.StatusOK, r.cache.after(after))
	case path == endpoint.PathOrders:
		r.order(w, q)
	case strings.HasPrefix(path, pathKV):
		r.serveKV(w, q)
	case path == "/control/faults":
		controlFaults(&r.faults, w, q)
	case path == "/control/truth":
		writeJSON(w, http.StatusOK, r.Truth())
	default:
		http.NotFound(w, q)
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func refuse(w http.ResponseWriter, status int, cause string, notRun bool) {
	writeJSON(w, status, endpoint.Problem{Error: cause, NotRun: notRun})
}

// hangUp closes the connection without an answer.
func hangUp(w http.ResponseWriter) {
	if hj, ok := w.(http.Hijacker); ok {
		if c, _, err := hj.Hijack(); err == nil {
			c.Close()
		}
	}
}

func (r *Runner) complete(w http.ResponseWriter, q *http.Request) {
	var comp endpoint.Completion
	if err := json.NewDecoder(q.Body).Decode(&comp); err != nil {
		refuse(w, http.StatusBadRequest, err.Error(), true)
		return
	}
	if r.faults.take(func(f *Faults) *int { return &f.CutBefore }) {
		hangUp(w)
		return
	}
	f := r.faults.get()
	if f.RefuseShare > 0 && rand.Float64() < f.RefuseShare {
		refuse(w, http.StatusServiceUnavailable, "refused by fault", true)
		return
	}
	if r.faults.take(func(f *Faults) *int { return &f.RefuseUnvouch }) {
		refuse(w, http.StatusInternalServerError, "broken by fault", false)
		return
	}
	if cause := r.mismatch(q.Header.Get(endpoint.HeaderVersion), comp); cause != "" {
		refuse(w, http.StatusConflict, cause, true)
		return
	}
	if comp.Transfer != nil && comp.Transfer.RemoteDecode {
		r.prefill(w, q, comp)
		return
	}
	r.decode(w, q, comp)
}

// mismatch says why the runner is in the wrong state for a call, or "".
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
	if f := r.faults.get(); f.WrongState != "" {
		return f.WrongState
	}
	return r.version
}
