package peer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/quota"
)

// What holders of one team tell each other.

// SettleArgs tells a holder of another failure domain what was let in.
type SettleArgs struct {
	Domain string
	Rows   []SettleRow
}

// SettleRow is a word about one team.
type SettleRow struct {
	Team uint32
	Word quota.Word
}

// SettleReply carries the words of the one that was told.
type SettleReply struct{ Rows []SettleRow }

// settleEvery is how often holders look whether others should be told. A team at its
// limit is told of about as often.
const settleEvery = 250 * time.Millisecond

// Settle answers a holder of another failure domain, about the teams that this host
// holds. A host that is asked in the place of the holder, which the asker can't reach,
// says nothing: by its word that nothing is asked here others would let in all of the limit.
func (s *server) Settle(a *SettleArgs, reply *SettleReply) error {
	now := time.Now()
	for _, row := range a.Rows {
		if t, known := s.r.teamOf(row.Team); known && s.r.holds(t, now) {
			reply.Rows = append(reply.Rows, SettleRow{row.Team, s.r.board.Quotas.Hear(now, t, a.Domain, row.Word, s.r.reach(now, row.Team))})
		}
	}
	return nil
}

// holds reports whether this host holds a team's limit, by its own view or because it
// is asked as if it did.
func (r *Router) holds(t quota.Team, now time.Time) bool {
	if r.board.Quotas.Open(t.Number) {
		return true
	}
	h, ok := r.board.Hosts.First(keyOf(t.Number), r.board.Settings.Domain, now)
	return ok && h.Number == r.board.Number
}

// Settler returns the controller by which the holders of teams tell each other what
// they have let in.
func (r *Router) Settler() blackboard.Controller {
	return blackboard.Every(settleEvery, func(ctx context.Context) {
		now := time.Now()
		due := r.board.Quotas.Due(now)
		if len(due) == 0 {
			return
		}
		var wg sync.WaitGroup
		for _, domain := range r.otherDomains(r.board.Hosts.Census(now)) {
			for _, b := range r.settlements(now, domain, due) {
				wg.Go(func() { r.settle(ctx, domain, b) })
			}
		}
		wg.Wait()
	})
}

// settlement is what one holder of another failure domain is told.
type settlement struct {
	to   blackboard.Host
	rows []SettleRow
}

// settlements puts words together by the hosts that hold the teams in a domain. Where
// none does, that is noted.
func (r *Router) settlements(now time.Time, domain string, due map[uint32]quota.Word) map[uint32]*settlement {
	out := map[uint32]*settlement{}
	for team, w := range due {
		h, ok := r.board.Hosts.First(keyOf(team), domain, now)
		if !ok || h.Peers == "" {
			r.missSettled(domain, []SettleRow{{Team: team}})
			continue
		}
		if out[h.Number] == nil {
			out[h.Number] = &settlement{to: h}
		}
		out[h.Number].rows = append(out[h.Number].rows, SettleRow{team, w})
	}
	return out
}

// settle tells one holder and takes in what it answers.
func (r *Router) settle(ctx context.Context, domain string, b *settlement) {
	var reply SettleReply
	args := &SettleArgs{Domain: r.board.Settings.Domain, Rows: b.rows}
	if err := r.fail(ctx, b.to, r.pool.call(ctx, b.to.Peers, methodSettle, args, &reply, r.timeout())); err != nil {
		r.missSettled(domain, b.rows)
		return
	}
	now := time.Now()
	for _, row := range reply.Rows {
		if t, known := r.teamOf(row.Team); known {
			r.board.Quotas.Hear(now, t, domain, row.Word, r.reach(now, row.Team))
		}
	}
	r.missSettled(domain, unanswered(b.rows, reply.Rows))
}

// unanswered returns the rows about whose teams nothing was answered.
func unanswered(asked, answered []SettleRow) []SettleRow {
	return slices.DeleteFunc(slices.Clone(asked), func(row SettleRow) bool {
		return slices.ContainsFunc(answered, func(a SettleRow) bool { return a.Team == row.Team })
	})
}

func (r *Router) missSettled(domain string, rows []SettleRow) {
	now := time.Now()
	for _, row := range rows {
		if t, known := r.teamOf(row.Team); known {
			r.board.Quotas.Miss(now, t, domain, r.reach(now, row.Team))
		}
	}
}
