package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/peer"
	"github.com/embercove/embercove/report"
	"github.com/embercove/embercove/request"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// job is one request on its way.
type job struct {
	headers
	id      request.ID
	view    *config.View // the revision that it was admitted under
	route   *config.RouteView
	body    *Body
	out     *answer                 // nil for plain services
	fail    func(err *result.Error) // tells the caller; may not return
	came    time.Time
	tokens  int
	pick    route.Request
	teamNum uint32

	ran      bool             // some call may have run at an endpoint
	started  bool             // not repeatable: it was started
	waste    int              // tokens read that no answer came of, so far
	read     int              // tokens read in all
	attempts int              // calls that may have run at an endpoint
	tries    int              // passes of the whole way
	phases   [5]time.Duration // for the log: since came, at the end of each
	prefill  string
	decode   string
}

// completions serves both completion paths.
func (e *Entry) completions(w http.ResponseWriter, q *http.Request) {
	v, src, ok := e.receive(w, q)
	if !ok {
		return
	}
	chat := q.URL.Path == "/v1/chat/completions"
	j, refusal := e.admit(v, q.Header, src, chat)
	if refusal != nil {
		e.refuse(w, q, refusal)
		return
	}
	j.out = newAnswer(w, j, chat)
	j.fail = j.out.fail
	e.carry(q.Context(), j, xxhash.Sum64(src), func(ctx context.Context) *result.Error { return e.run(ctx, j) })
}

// admit checks a call and makes a job of it.
func (e *Entry) admit(v *config.View, h http.Header, src []byte, chat bool) (*job, *result.Error) {
	hd, refusal := parseHeaders(v, h)
	if refusal != nil {
		return nil, refusal
	}
	body, err := ParseBody(src, chat)
	if err != nil {
		return nil, result.Errorf(result.BadBody, "%v", err)
	}
	m := v.Models[body.Model]
	if m == nil {
		return nil, result.Errorf(result.UnknownModel, "model = %q: not a configured model or adapter", body.Model)
	}
	tokens := body.tokens()
	if n := tokens + *body.MaxTokens; n > m.MaxTokens {
		return nil, result.Errorf(result.PromptTooLong, "prompt: %d tokens with max_tokens, the model takes %d", n, m.MaxTokens)
	}
	hd.labels["team"], hd.labels["model"] = hd.team.Name, body.Model
	r := v.Match(hd.labels, false)
	if r == nil {
		return nil, result.Errorf(result.NoRoute, "no route takes a request with these labels")
	}
	j := &job{headers: hd, id: e.board.NextID(), view: v, route: r, body: body, came: time.Now(), tokens: tokens,
		teamNum: config.NameNumber(hd.team.Name)}
	j.priority = max(hd.priority, r.Priority) // a request may lower itself, not raise
	j.pick = e.pickRequest(v, r, body.Model, tokens, *body.MaxTokens)
	j.pick.Head, j.pick.HasHead = endpoint.Head(body.Prompt)
	return j, nil
}

// pickRequest returns what route decides from.
func (e *Entry) pickRequest(v *config.View, r *config.RouteView, model string, tokens, answer int) route.Request {
	return route.Request{Route: r, Model: model, Tokens: tokens, MaxAnswer: answer, Home: v.DomainIndex(e.board.Settings.Domain),
		Region: e.board.Settings.Region, Seed: e.turn.Add(1)<<32 ^ uint64(e.board.Number)}
}

// carry takes a job from its row in the table of requests to its outcome.
func (e *Entry) carry(ctx context.Context, j *job, bodyHash uint64, run func(ctx context.Context) *result.Error) {
	model := ""
	if j.body != nil {
		model = j.body.Model
	}
	row := blackboard.Request{ID: j.id, Team: j.team.Name, Model: model, Phase: blackboard.PhaseReserve, Since: j.came, PhaseSince: j.came, Tokens: j.tokens}
	l := j.view.Doc.Limits
	if err := e.board.Requests.Begin(row, j.team.MaxConcurrent, l.Concurrent); err != nil {
		refusal := asResult(err)
		refusal.Unsure = j.key != ""
		e.finish(j, refusal, false)
		return
	}
	if j.deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, j.deadline)
		defer cancel()
	}
	if j.key != "" {
		if refusal := e.takeKey(ctx, j, bodyHash); refusal != nil {
			e.finish(j, refusal, true)
			return
		}
	}
	err := run(ctx)
	if err == nil {
		err = result.Errorf(result.OK, "")
	}
	e.finish(j, e.final(ctx, j, err), true)
}

// final turns an outcome into what may be said: a job that may have run is
// never called not run, and a caller that left is named as the cause.
func (e *Entry) final(ctx context.Context, j *job, err *result.Error) *result.Error {
	if err.Code == result.OK {
		return err
	}
	switch context.Cause(ctx) {
	case context.Canceled:
		return result.Errorf(result.CallerGone, "the caller left")
	case context.DeadlineExceeded:
		if j.ran {
			return result.Errorf(result.DeadlinePassed, "the deadline passed")
		}
		return result.Errorf(result.TooLate, "the deadline passed before the request ran").After(time.Second)
	}
	if j.ran && err.Code.NotRun() {
		if !j.repeatable {
			return result.Errorf(result.OutcomeUnknown, "%s", err.Detail)
		}
		return result.Errorf(result.PrefillWasted, "%s", err.Detail).After(err.RetryAfter)
	}
	return err
}

// takeKey takes the job's idempotency key, or says what became of it.
func (e *Entry) takeKey(ctx context.Context, j *job, bodyHash uint64) *result.Error {
	rec := blackboard.KeyRecord{Key: xxhash.Sum64String(j.team.Name + "\x00" + j.key), Body: bodyHash, ID: j.id}
	reply, err := e.owners.KeyBegin(ctx, peer.KeyArgs{Record: rec, AgeMillis: j.keyAge.Milliseconds()})
	if err != nil {
		j.key = ""
		return result.Errorf(result.KeyOutOfReach, "the holders of the key are out of reach").After(2 * time.Second)
	}
	key := j.key
	if reply.State != blackboard.KeyNew {
		j.key = "" // not ours to end
	}
	switch reply.State {
	case blackboard.KeyRunning:
		return result.Errorf(result.KeyRunning, "%s %q: request %s is in progress", HeaderKey, key, reply.Record.ID).After(time.Second)
	case blackboard.KeyAnswered:
		return result.Errorf(result.KeyAnswered, "%s %q: answered as request %s", HeaderKey, key, reply.Record.ID)
	case blackboard.KeyMismatch:
		return result.Errorf(result.KeyMismatch, "%s %q: used before with another body", HeaderKey, key)
	case blackboard.KeyUnknown:
		j.ran = true // perhaps, under another host
		return result.Errorf(result.OutcomeUnknown, "%s %q: an earlier request may have run", HeaderKey, key)
	}
	return nil
}

// endKey tells the key's holders how the job ended.
func (e *Entry) endKey(j *job, code result.Code) {
	if j.key == "" {
		return
	}
	state := blackboard.KeyUnknown
	switch {
	case code == result.OK:
		state = blackboard.KeyAnswered
	case code.NotRun():
		state = blackboard.KeyNew
	case j.repeatable && j.out != nil && j.out.sent == 0 && code != result.OutcomeUnknown:
		state = blackboard.KeyNew // nothing was answered, and it may run again
	}
	rec := blackboard.KeyRecord{Key: xxhash.Sum64String(j.team.Name + "\x00" + j.key), ID: j.id, State: state}
	ctx, cancel := context.WithTimeout(context.Background(), keyEndTimeout)
	defer cancel()
	e.owners.KeyEnd(ctx, peer.KeyArgs{Record: rec})
}

const keyEndTimeout = time.Second

// outcome returns what is recorded of a job.
func (j *job) outcome(code result.Code) report.Outcome {
	o := report.Outcome{Team: j.team.Name, Code: code, Prefilled: j.read, Wasted: j.waste, Attempts: j.attempts, Tries: j.tries, Service: j.body == nil}
	if j.body != nil {
		o.Model = j.body.Model
	}
	if j.out != nil {
		o.Tokens = j.out.sent
		o.TTFT, o.TPOT = j.out.times(j.came)
	}
	return o
}
