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
)

// Owners is what a request asks of endpoint owners and key holders.
type Owners interface {
	Reserve(ctx context.Context, spec *config.Endpoint, a owner.ReserveArgs) (owner.ReserveReply, error)
	Enqueue(ctx context.Context, spec *config.Endpoint, a owner.EnqueueArgs) (owner.EnqueueReply, error)
	Release(spec *config.Endpoint, rel owner.Release)
	Kept(ctx context.Context, specs []*config.Endpoint, head uint32, need int) (spec *config.Endpoint, tokens int)
	KeyBegin(ctx context.Context, a peer.KeyArgs) (peer.KeyReply, error)
	KeyEnd(ctx context.Context, a peer.KeyArgs)
	Touched(number uint32, n int)
	Draw(ctx context.Context, t *config.Team, n float64) quota.Answer
	GiveBack(t *config.Team, n float64)
	Start(ctx context.Context, spec *config.Endpoint, a peer.StartAsk) peer.Start
	Trial(ctx context.Context, a quarantine.Ask) quarantine.Reply
	TrialDone(f request.Fingerprint, holder uint64, settled bool)
	TellMarks(rows []quarantine.Row)
	Heard(spec *config.Endpoint, w pace.Word)
}

// Entry serves callers. Use New.
type Entry struct {
	board   *blackboard.Board
	engine  endpoint.Engine
	traits  endpoint.Traits
	owners  Owners
	record  *report.Recorder
	log     *zap.Logger
	budgets *retry.Budgets
	turn    atomic.Uint64 // for round robin and seeds
	Latency LatencyRecorder
	Copies  Copies
	// CopyPolicy says which answers get a copy of their memory; it is set before the
	// entry serves.
	CopyPolicy copies.Policy
	logs       *lineGate
	back       *retry.ComeBack
	began      time.Time
	barred     barCounts
	ends       ends
	waiting    waiting
	slips      slips

	Unstarted atomic.Uint64 // calls for which there was no start in time
	Heard     Heard
}

// New returns an entry over the board.
func New(b *blackboard.Board, g endpoint.Engine, o Owners, rec *report.Recorder, log *zap.Logger) *Entry {
	e := &Entry{board: b, engine: g, traits: g.Traits(), owners: o, record: rec, log: log, budgets: retry.NewBudgets(b.Settings.RetryBudget, b.Hosts.Len), logs: newLineGate(), back: retry.NewComeBack(), began: time.Now()}
	e.waiting.of = map[request.ID]waiter{}
	e.ends = ends{e: e, of: map[process]*ended{}, born: map[string]int64{}}
	return e
}

// SetRetryBudget has another budget hold from now on.
func (e *Entry) SetRetryBudget(b config.RetryBudget) { e.budgets.Set(b) }

// Handler returns the callers' HTTP interface.
func (e *Entry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.completions)
	mux.HandleFunc("POST /v1/chat/completions", e.completions)
	mux.HandleFunc("GET /v1/models", e.models)
	mux.HandleFunc("/services/{name}/", e.service)
	return mux
}

// notReadyFor is how long a host that has just started mostly takes to get its
// configuration.
const notReadyFor = 250 * time.Millisecond

// startWait is how long a request waits for the first configuration, which a
// store in reach answers with in some 10 ms. It is below a quarter of any target
// of a second, so that a refusal after it still leaves time to go elsewhere.
const startWait = 200 * time.Millisecond

// ready returns the revision in force, or the refusal of a host that can't
// serve. A host that has just started waits for its first revision.
func (e *Entry) ready(ctx context.Context) (*config.View, *result.Error) {
	e.board.Pause.Check()
	if e.board.Draining() {
		return nil, result.Errorf(result.Draining, "this host is stopping").After(time.Second)
	}
	if v := e.view(); v != nil {
		return v, nil
	}
	if v := e.awaitView(ctx); v != nil {
		return v, nil
	}
	return nil, result.Errorf(result.NotReady, "no configuration yet").After(notReadyFor)
}

// view returns the revision in force, nil if there is none that can be served
// from: until the first roster, which mostly comes with the first document, no
// endpoint of a pool is known.
func (e *Entry) view() *config.View {
	v := e.board.Config.View()
	if v != nil && len(v.Pools) > 0 && v.Roster == 0 && time.Since(e.began) < rosterWait {
		return nil
	}
	return v
}

// rosterWait is how long after its start a host takes a document without a
// roster for one whose roster is on its way: a listing of the store that fails
// once is repeated within it.
const rosterWait = 2 * time.Second

// awaitView waits for a revision to serve from, for startWait at most.
func (e *Entry) awaitView(ctx context.Context) *config.View {
	limited, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	for {
		changed := e.board.Wake.Wait()
		if v := e.view(); v != nil {
			return v
		}
		select {
		case <-changed:
		case <-limited.Done():
			return nil
		}
	}
}

// caller is who sent a call that is not yet a job.
type caller struct {
	id string // the caller's own name for the call; empty: it gave none
	// refuse tells the caller of a refusal, in its protocol.
	refuse func(w http.ResponseWriter, err *result.Error)
}

// apiCaller is a caller of the project's own protocol, which has no ids of callers.
var apiCaller = caller{refuse: writeError}

// receive takes a call in: the revision that it falls under and its body. It
// answers the call itself when it returns false.
func (e *Entry) receive(w http.ResponseWriter, q *http.Request, c caller) (*config.View, []byte, bool) {
	v, refusal := e.ready(q.Context())
	if refusal != nil {
		e.refuse(w, q, refusal, c)
		return nil, nil, false
	}
	src, refusal := readBody(w, q, v.Doc.Limits)
	if refusal != nil {
		e.refuse(w, q, refusal, c)
		return nil, nil, false
	}
	return v, src, true
}

func (e *Entry) models(w http.ResponseWriter, q *http.Request) {
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
