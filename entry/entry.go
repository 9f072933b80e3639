package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/copies"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/owner"
	"github.com/embercove/embercove/pace"
	"github.com/embercove/embercove/peer"
	"github.com/embercove/embercove/quarantine"
	"github.com/embercove/embercove/quota"
	"github.com/embercove/embercove/report"
	"github.com/embercove/embercove/request"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/retry"
	"github.com/embercove/embercove/versions"
)

// Owners is what a request needs from endpoint owners and key holders.
type Owners interface {
	Reserve(ctx context.Context, spec *config.Endpoint, a owner.ReserveArgs) (owner.ReserveReply, error)
	Enqueue(ctx context.Context, spec *config.Endpoint, a owner.EnqueueArgs) (owner.EnqueueReply, error)
	Release(spec *config.Endpoint, rel owner.Release)
	FindCached(ctx context.Context, specs []*config.Endpoint, head uint32, need int) (spec *config.Endpoint, tokens int)
	KeyBegin(ctx context.Context, a peer.KeyArgs) (peer.KeyReply, error)
	KeyEnd(ctx context.Context, a peer.KeyArgs)
	AddCalls(number uint32, n int)
	DrawQuota(ctx context.Context, t *config.Team, n float64) quota.Answer
	Refund(t *config.Team, n float64)
	AcquirePermit(ctx context.Context, spec *config.Endpoint, a peer.PermitRequest) peer.Permit
	MarksKnown() bool
	AcquireProbe(ctx context.Context, a quarantine.Ask) quarantine.Reply
	EndProbe(f request.Fingerprint, holder uint64, end quarantine.ProbeEnd)
	AnnounceMarks(rows []quarantine.Row)
	AnnounceParts(news quarantine.PartNews)
	ReceiveLimit(spec *config.Endpoint, w pace.Report)
	RecordVersion(ctx context.Context, r versions.Record)
	FindVersion(ctx context.Context, answer request.Fingerprint) (r versions.Record, from string, complete bool)
}

// Entry serves callers. Use New.
type Entry struct {
	board        *blackboard.Board
	engine       endpoint.Engine
	traits       endpoint.Traits
	owners       Owners
	recorder     *report.Recorder
	log          *zap.Logger
	retryBudgets *retry.Budgets
	sequence     atomic.Uint64 // for round robin and random seeds
	Latency      LatencyRecorder
	Replicas     ReplicaCounts
	// Decides which answers get a replica of their KV cache. Set before the entry serves.
	ReplicaPolicy copies.Policy
	logLimiter    *lineLimiter
	retryTimes    *retry.Delay
	started       time.Time
	reasonTotals  reasonCounts
	crashes       crashTracker
	deadlines     deadlines
	requests      context.Context // ends with all requests
	endRequests   context.CancelCauseFunc
	cutAtStop     atomic.Int64
	preparations  chan struct{} // holds a value for each job that places its next try beside a silent call
	unreadableLog logThrottle

	WithoutPermit atomic.Uint64 // calls that got no start permit in time
	NoticeCounts  NoticeCounts
	Versions      VersionCounts
}

// New returns an entry over the board.
func New(b *blackboard.Board, g endpoint.Engine, o Owners, rec *report.Recorder, log *zap.Logger) *Entry {
	e := &Entry{board: b, engine: g, traits: g.Traits(), owners: o, recorder: rec, log: log, retryBudgets: retry.NewBudgets(b.Settings.RetryBudget, b.Hosts.Len), logLimiter: newLineLimiter(), retryTimes: retry.NewDelay(), started: time.Now()}
	e.requests, e.endRequests = context.WithCancelCause(context.Background())
	e.preparations = make(chan struct{}, maxPreparations)
	e.deadlines.byID = map[request.ID]pendingDeadline{}
	e.crashes = crashTracker{entry: e, checks: map[process]*crashCheck{}, startTimes: map[string]int64{}}
	return e
}

// maxPreparations is how many jobs may place their next try beside a silent call at once.
const maxPreparations = 8

// SetRetryBudget replaces the retry budget.
func (e *Entry) SetRetryBudget(b config.RetryBudget) { e.retryBudgets.SetWindow(b) }

// Handler returns the callers' HTTP interface.
func (e *Entry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.completions)
	mux.HandleFunc("POST /v1/chat/completions", e.completions)
	mux.HandleFunc("GET /v1/models", e.listModels)
	mux.HandleFunc("/services/{name}/", e.service)
	return mux
}

// notReadyRetryAfter is how long a host that has just started usually takes to get its
// configuration.
const notReadyRetryAfter = 250 * time.Millisecond

// firstConfigWait is how long a request waits for the first configuration. A reachable
// store delivers it in some 10 ms. The wait is below a quarter of any target of a second,
// so that a refusal after it leaves the caller time to try another host.
const firstConfigWait = 200 * time.Millisecond

// ready returns the revision in force, or the refusal of a host that can't serve. A host
// that has just started waits for its first revision.
func (e *Entry) ready(ctx context.Context) (*config.View, *result.Error) {
	e.board.Pause.Check()
	if e.board.Draining() {
		return nil, result.Errorf(result.Draining, "this host is stopping").After(time.Second)
	}
	if v := e.servableView(); v != nil {
		return v, nil
	}
	if v := e.awaitView(ctx); v != nil {
		return v, nil
	}
	return nil, result.Errorf(result.NotReady, "no configuration yet").After(notReadyRetryAfter)
}

// servableView returns the revision in force, or nil if it can't be served from: before the
// first roster, which usually arrives with the first document, no endpoint of a pool is
// known.
func (e *Entry) servableView() *config.View {
	v := e.board.Config.View()
	if v != nil && len(v.Pools) > 0 && v.RosterRevision == 0 && time.Since(e.started) < firstRosterWait {
		return nil
	}
	return v
}

// firstRosterWait is how long after its start a host assumes that the roster of a document
// without one is still on its way. It leaves time to repeat a listing of the store that
// failed once.
const firstRosterWait = 2 * time.Second

// awaitView waits up to firstConfigWait for a revision to serve from.
func (e *Entry) awaitView(ctx context.Context) *config.View {
	limited, cancel := context.WithTimeout(ctx, firstConfigWait)
	defer cancel()
	for {
		changed := e.board.Wake.Wait()
		if v := e.servableView(); v != nil {
			return v
		}
		select {
		case <-changed:
		case <-limited.Done():
			return nil
		}
	}
}

// caller is the sender of a call that is not yet a job.
type caller struct {
	id       string        // the caller's own id of the call; empty: none
	timeLeft time.Duration // until the caller times out; 0: unknown
	// Sends a refusal to the caller, in its protocol.
	refuse func(w http.ResponseWriter, err *result.Error)
}

// apiCaller is a caller of embercove's own protocol, in which callers send no ids.
var apiCaller = caller{refuse: writeError}

// receiveCall returns the revision that a call falls under, and its body. The body of a call that is denied by its head isn't
// awaited. If it returns false, it has answered the call itself.
func (e *Entry) receiveCall(w http.ResponseWriter, q *http.Request, c caller, denial func(v *config.View) *result.Error) (*config.View, []byte, bool) {
	v, refusal := e.ready(q.Context())
	if refusal != nil {
		e.refuse(w, q, refusal, c)
		return nil, nil, false
	}
	if e.board.Leaving() || e.board.Intake.IsBounded() {
		w.Header().Set("Connection", "close")
	}
	if refusal := denial(v); refusal != nil {
		discardBody(w, q)
		e.refuse(w, q, refusal, c)
		return nil, nil, false
	}
	src, refusal := e.receiveBody(w, q, v.Doc.Limits, c.timeLeft)
	if refusal != nil {
		e.refuse(w, q, refusal, c)
		return nil, nil, false
	}
	return e.board.Config.View(), src, true // a body may take seconds, in which a later revision came
}

func (e *Entry) listModels(w http.ResponseWriter, q *http.Request) {
	v, refusal := e.ready(q.Context())
	if refusal != nil {
		writeError(w, refusal)
		return
	}
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list"}
	for _, m := range v.Doc.Models {
		list.Data = append(list.Data, model{m.Name, "model"})
		for _, a := range m.Adapters {
			list.Data = append(list.Data, model{a, "model"})
		}
	}
	writeJSON(w, http.StatusOK, list)
}
