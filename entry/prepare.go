package entry

import (
	"context"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/copies"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/quarantine"
	"github.com/embercove/embercove/request"
	"github.com/embercove/embercove/route"
)

// How a next try is prepared: at the engine that keeps a replica, or at another pair of endpoints.

// prepareReplica reports whether the answer resumes from its replica. Only the call itself shows
// whether the replica still exists; without it nothing runs.
func (n *nextTry) prepareReplica(ctx context.Context, w *watchdog) bool {
	if n.replica == nil || !w.answering.Load() {
		return false
	}
	e, spec := n.entry, n.replica.spec
	end := copies.End{Replicated: true, MayHaveRun: true, DecodeTime: time.Since(w.first)}
	if !end.CanContinue() || n.silentOf(ctx, spec) != nil || n.progressed() || !e.maySendToReplica(ctx, &n.job, spec) {
		return false
	}
	n.opensReplica.Store(true)
	defer n.opensReplica.Store(false)
	chunks, lastEventID := w.delivered()
	if err := n.open(ctx, spec, n.replica.attempt, replicaWork(&n.job, spec, chunks, lastEventID)); err != nil {
		n.replicaUsed = endpoint.MayHaveRun(err)
		if n.replicaUsed || ctx.Err() == nil {
			e.Replicas.Missing.Add(1)
			n.replica = nil
		}
		return false
	}
	n.prepared, n.fromReplica = true, true
	return true
}

// acceptTimeout bounds the wait for an engine to accept a call. Two engines must not work on the
// same request for longer than 400 ms.
const acceptTimeout = 300 * time.Millisecond

// open makes the decode call of the next try. It is canceled if the engine hasn't accepted it in
// time, or ctx ends before.
func (n *nextTry) open(ctx context.Context, spec *config.Endpoint, attempt request.Attempt, work *endpoint.Work) error {
	call, cancel := context.WithCancel(n.ctx)
	unlink := context.AfterFunc(ctx, cancel)
	timer := time.AfterFunc(acceptTimeout, cancel)
	c, err := n.entry.openCall(call, &n.job, spec, attempt, work)
	if err == nil && timer.Stop() && unlink() {
		c.cancel = cancel
		n.opened = c
		return nil
	}
	cancel()
	if err == nil {
		c.abandon()
		err = &endpoint.CallError{Address: spec.Address, MayHaveRun: true, Cause: context.Canceled}
	}
	if endpoint.MayHaveRun(err) {
		n.job.attempts++
		n.abandoned++
	}
	return err
}

const (
	maxPlaced       = 3           // pairs that one preparation places the next try on to find one that answers
	maxBegun        = 2           // pairs that one preparation makes calls to
	minPreparePause = time.Second // after a preparation that made calls; each costs a prefill and retry budget
)

// preparePlan reports whether another pair of endpoints takes the request over, and charges the
// retry budget. Only a limited number of jobs prepare at once, as many are silent together.
func (n *nextTry) preparePlan(ctx context.Context, w *watchdog) bool {
	e, j := n.entry, &n.job
	if !n.hasTries() || !e.hasRetryBudget(j, n.from.Name) || time.Now().Before(n.notBefore) {
		return false
	}
	select {
	case e.preparations <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-e.preparations }()
	if !j.view.Doc.Policy.Mode.Reserves() {
		n.prepared = !n.progressed() && e.spendRetry(j, &retryable{endpointName: n.from.Name})
		return n.prepared
	}
	for range maxBegun {
		if !n.hasTries() || !n.place(ctx) || n.progressed() || ctx.Err() != nil || !e.spendRetry(j, &retryable{endpointName: n.from.Name}) {
			break
		}
		n.pause = max(minPreparePause, 2*n.pause)
		n.notBefore = time.Now().Add(n.pause)
		if !e.traits.DisconnectAborts || n.begin(ctx, w) {
			n.prepared = true
			return true
		}
	}
	n.release()
	return false
}

// place places the next try on a pair of endpoints that answer.
func (n *nextTry) place(ctx context.Context) bool {
	e, j := n.entry, &n.job
	for range maxPlaced {
		if ctx.Err() != nil {
			return false // what is reserved in an ended context may stay reserved
		}
		p, err := e.place(ctx, j)
		if err != nil {
			return false
		}
		n.plan = p
		silent := n.silentOf(ctx, p.decodeSpec, p.prefillSpec)
		if silent == nil && p.reserved {
			return true
		}
		n.release()
		if silent == nil {
			silent = p.decodeSpec
		}
		j.criteria.AddExcluded(route.Number(silent.Name))
	}
	return false
}

// begin makes the calls of the next try, up to the point where its prefill engine has answered or,
// if the silent call is a decode call, its decode engine has accepted the rest of the answer.
func (n *nextTry) begin(ctx context.Context, w *watchdog) bool {
	e, j, p := n.entry, &n.job, n.plan
	n.plan = nil // from here on, what fails releases it
	var kv *endpoint.Transfer
	if p.prefillSpec != nil {
		var err error
		if kv, err = e.prefillPlan(ctx, j, p); err != nil {
			j.criteria.AddExcluded(route.Number(p.prefillSpec.Name))
			return false
		}
	}
	if n.prefill {
		n.plan, n.kv = p, kv
		return true
	}
	if r := e.useOrAcquirePermit(ctx, j, p.decodeSpec, &p.permit); r != nil || n.progressed() || n.isSuspected() {
		e.discardResult(j, p, kv)
		return false
	}
	chunks, lastEventID := w.delivered()
	if err := n.open(ctx, p.decodeSpec, p.decodeAttempt, decodeWork(j, kv, chunks, lastEventID)); err != nil {
		e.discardResult(j, p, kv)
		j.criteria.AddExcluded(route.Number(p.decodeSpec.Name))
		return false
	}
	n.plan, n.kv = p, kv
	return true
}

// silentOf returns the first of some endpoints that doesn't answer a request for its report,
// or nil: what made one engine silent may have made others silent too, which their owners
// learn later.
func (n *nextTry) silentOf(ctx context.Context, specs ...*config.Endpoint) *config.Endpoint {
	if !n.entry.traits.DisconnectAborts {
		return nil
	}
	for _, spec := range specs {
		if spec == nil {
			continue
		}
		if evidence, _ := n.entry.processEvidence(ctx, n.entry.crashes.process(spec), reportTimeout); evidence != quarantine.EvidenceAlive {
			return spec
		}
	}
	return nil
}
