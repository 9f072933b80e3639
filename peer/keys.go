package peer

import (
	"context"
	"time"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/request"
)

// Idempotency keys. Each key has a home domain, chosen by a hash over the configured domains of
// the region (or always the own domain, depending on policy.key_scope). There the first live host
// in rendezvous order holds the key and the second has a copy, so that losing one host loses no
// key. The holders know only the keys that were used since their tenure began; a key that the
// client first sent before that is answered as unknown. If the home is unreachable, the request
// is refused as not executed, so that a network partition can't lead to a key being taken twice.

// homeDomain returns the domain that holds a key.
func (r *Router) homeDomain(key uint64) string {
	v := r.board.Config.View()
	self := r.board.Settings
	if v == nil || v.Doc.Policy.KeyScope == config.KeysDomain {
		return self.Domain
	}
	var own []string
	for _, d := range v.Doc.Domains {
		if d.Region == self.Region {
			own = append(own, d.Name)
		}
	}
	if len(own) == 0 {
		return self.Domain
	}
	return own[key%uint64(len(own))]
}

// KeyBegin takes a key for a request, or returns the state of the request that has it. An error
// means that the key's home is unreachable.
func (r *Router) KeyBegin(ctx context.Context, a KeyArgs) (KeyReply, error) {
	order := r.board.Hosts.Order(a.Record.Key, r.homeDomain(a.Record.Key), time.Now())
	for i, h := range order {
		if i == keyHolders {
			break
		}
		if h.Number == r.board.Number {
			return r.keyBegin(ctx, a)
		}
		if h.Unconfirmed {
			continue
		}
		var reply KeyReply
		if err := r.pool.call(ctx, h.Peers, methodKeyBegin, &a, &reply, r.timeout()); err == nil {
			return reply, nil
		}
		r.board.Hosts.MarkUnconfirmed(h.Number)
	}
	return KeyReply{}, ErrUnreachable
}

// keyHolders is how many hosts store each key.
const keyHolders = 2

// keyBegin answers as a holder of the key.
func (r *Router) keyBegin(ctx context.Context, a KeyArgs) (KeyReply, error) {
	r.board.Pause.Check()
	now := time.Now()
	state, rec := r.board.Keys.Begin(a.Record, now)
	reply := KeyReply{State: state, Record: rec, TenureMillis: r.board.Keys.Tenure(now).Milliseconds()}
	if a.Copy || state != blackboard.KeyNew {
		return reply, nil
	}
	other, ok := r.otherHolder(a.Record.Key, now)
	if ok {
		copyArgs := a
		copyArgs.Copy = true
		var theirs KeyReply
		if err := r.pool.call(ctx, other.Peers, methodKeyBegin, &copyArgs, &theirs, r.timeout()); err != nil {
			r.board.Keys.End(a.Record.Key, a.Record.ID, blackboard.KeyNew, now)
			r.board.Hosts.MarkUnconfirmed(other.Number)
			return KeyReply{}, ErrUnreachable
		}
		reply.TenureMillis = max(reply.TenureMillis, theirs.TenureMillis)
		if theirs.State != blackboard.KeyNew {
			r.board.Keys.Adopt(theirs.Record)
			theirs.TenureMillis = reply.TenureMillis
			return theirs, nil
		}
	}
	if a.AgeMillis > reply.TenureMillis {
		r.keyEnd(ctx, KeyArgs{Record: blackboard.KeyRecord{Key: a.Record.Key, ID: a.Record.ID, State: blackboard.KeyUnknown}})
		reply.State = blackboard.KeyUnknown
	}
	return reply, nil
}

// otherHolder returns the live holder of a key other than this host, if there is one that isn't
// unconfirmed.
func (r *Router) otherHolder(key uint64, now time.Time) (blackboard.Host, bool) {
	order := r.board.Hosts.Order(key, r.board.Settings.Domain, now)
	for i, h := range order {
		if i == keyHolders {
			break
		}
		if h.Number != r.board.Number && !h.Unconfirmed && h.Incarnation != 0 {
			return h, true
		}
	}
	return blackboard.Host{}, false
}

// KeyEnd sends the outcome of a key's request to the key's holders.
func (r *Router) KeyEnd(ctx context.Context, a KeyArgs) {
	for i, h := range r.board.Hosts.Order(a.Record.Key, r.homeDomain(a.Record.Key), time.Now()) {
		if i == keyHolders {
			return
		}
		a.Copy = true
		if h.Number == r.board.Number {
			r.keyEnd(ctx, a)
			continue
		}
		_ = r.pool.call(ctx, h.Peers, methodKeyEnd, &a, &Nothing{}, r.timeout())
	}
}

func (r *Router) keyEnd(ctx context.Context, a KeyArgs) {
	now := time.Now()
	r.board.Keys.End(a.Record.Key, a.Record.ID, a.Record.State, now)
	if a.Copy {
		return
	}
	a.Copy = true
	if other, ok := r.otherHolder(a.Record.Key, now); ok {
		_ = r.pool.call(ctx, other.Peers, methodKeyEnd, &a, &Nothing{}, r.timeout())
	}
}

// KeySweeper returns the controller that removes old keys.
func (r *Router) KeySweeper() blackboard.Controller {
	return blackboard.Every(time.Second, func(context.Context) {
		v := r.board.Config.View()
		if v == nil {
			return
		}
		now := time.Now()
		keep := time.Duration(v.Doc.Policy.KeyKeepSeconds) * time.Second
		r.board.Keys.Sweep(now, keep, func(id request.ID) bool { return r.holderGone(id, now) })
	})
}

// holderGone reports whether the process that took a request is gone.
func (r *Router) holderGone(id request.ID, now time.Time) bool {
	if id.Host == r.board.Number && id.Incarnation >= r.board.Incarnation {
		return false
	}
	h, live, known := r.board.Hosts.Get(id.Host, now)
	return !known || !live || h.Incarnation > id.Incarnation
}
