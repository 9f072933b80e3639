package peer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/quota"
)

// How the holders of one team's limit keep each other informed.

// SettleArgs reports to a holder of another failure domain what was admitted.
type SettleArgs struct {
	Domain string
	Rows   []SettleRow
}

// SettleRow is a report about one team.
type SettleRow struct {
	Team uint32
	Word quota.Report
}

// SettleReply carries the receiver's own reports.
type SettleReply struct{ Rows []SettleRow }

// settleInterval is how often holders check whether others need a report. A team at its limit is
// reported at about this interval.
const settleInterval = 250 * time.Millisecond

// Settle answers a holder of another failure domain, for the teams whose limits this host holds.
// If this host is called because the caller can't reach the actual holder, it reports nothing: a
// report that nothing was admitted here would make the others admit the whole limit.
func (s *server) Settle(a *SettleArgs, reply *SettleReply) error {
	now := time.Now()
	for _, row := range a.Rows {
		if t, known := s.r.teamOf(row.Team); known && s.r.holds(t, now) {
			reply.Rows = append(reply.Rows, SettleRow{row.Team, s.r.board.Quotas.Observe(now, t, a.Domain, row.Word, s.r.reach(now, row.Team))})
		}
	}
	return nil
}

// holds reports whether this host holds a team's limit, by its own view or because others call it
// as the holder.
func (r *Router) holds(t quota.Team, now time.Time) bool {
	if r.board.Quotas.Has(t.Number) {
		return true
	}
	h, ok := r.board.Hosts.First(teamKey(t.Number), r.board.Settings.Domain, now)
	return ok && h.Number == r.board.Number
}

// Settler returns the controller by which the holders of teams report to each other what they
// have admitted.
func (r *Router) Settler() blackboard.Controller {
	return blackboard.Every(settleInterval, func(ctx context.Context) {
		now := time.Now()
		due := r.board.Quotas.DueReports(now)
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

// settlement holds the reports for one holder of another failure domain.
type settlement struct {
	holder blackboard.Host
	rows   []SettleRow
}

// settlements groups reports by the host that holds the teams in a domain. Teams without a holder
// there are recorded as unsettled.
func (r *Router) settlements(now time.Time, domain string, due map[uint32]quota.Report) map[uint32]*settlement {
	out := map[uint32]*settlement{}
	for team, w := range due {
		h, ok := r.board.Hosts.First(teamKey(team), domain, now)
		if !ok || h.Peers == "" {
			r.noteUnsettled(domain, []SettleRow{{Team: team}})
			continue
		}
		if out[h.Number] == nil {
			out[h.Number] = &settlement{holder: h}
		}
		out[h.Number].rows = append(out[h.Number].rows, SettleRow{team, w})
	}
	return out
}

// settle sends reports to one holder and applies its answers.
func (r *Router) settle(ctx context.Context, domain string, b *settlement) {
	var reply SettleReply
	args := &SettleArgs{Domain: r.board.Settings.Domain, Rows: b.rows}
	if err := r.noteOutcome(ctx, b.holder, r.pool.call(ctx, b.holder.Peers, methodSettle, args, &reply, r.timeout())); err != nil {
		r.noteUnsettled(domain, b.rows)
		return
	}
	now := time.Now()
	for _, row := range reply.Rows {
		if t, known := r.teamOf(row.Team); known {
			r.board.Quotas.Observe(now, t, domain, row.Word, r.reach(now, row.Team))
		}
	}
	r.noteUnsettled(domain, unanswered(b.rows, reply.Rows))
}

// unanswered returns the rows whose teams have no answer.
func unanswered(sent, answered []SettleRow) []SettleRow {
	return slices.DeleteFunc(slices.Clone(sent), func(row SettleRow) bool {
		return slices.ContainsFunc(answered, func(a SettleRow) bool { return a.Team == row.Team })
	})
}

func (r *Router) noteUnsettled(domain string, rows []SettleRow) {
	now := time.Now()
	for _, row := range rows {
		if t, known := r.teamOf(row.Team); known {
			r.board.Quotas.NoteUnreachable(now, t, domain, r.reach(now, row.Team))
		}
	}
}
