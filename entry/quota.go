package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/embercove/embercove/result"
)

// draw has a job's request counted against its team's quota. It returns the refusal
// of what is beyond it.
func (e *Entry) draw(ctx context.Context, j *job) *result.Error {
	q := &j.team.Quota
	if q.Rate == 0 {
		return nil
	}
	answer := 0
	if j.prompted {
		answer = j.work.MaxTokens
	}
	n := q.Cost(j.tokens, answer)
	a := e.owners.Draw(ctx, j.team, n)
	if a.OK {
		j.drawn = n
		return nil
	}
	return result.Errorf(result.TeamQuota, "team %s asks for more than %.0f %s a second: %.0f asked, %.0f free, %.2f of the limit in use",
		j.team.Name, q.Rate, q.Unit, n, a.Level, a.Use).After(apart(a.After))
}

// quotaApart is how far callers are told to come back one after the other, though the
// same moment was promised to them, as part of the time.
const quotaApart = 0.25

// apart moves a time to come back later at random.
func apart(d time.Duration) time.Duration {
	return d + rand.N(time.Duration(quotaApart*float64(d))+time.Millisecond)
}

// giveBack returns what a job drew, if nothing of it has run. What runs is charged
// once, as it was asked: that it ended short, or ran again, changes nothing.
func (e *Entry) giveBack(j *job, code result.Code) {
	if j.drawn > 0 && code.NotRun() {
		e.owners.GiveBack(j.team, j.drawn)
	}
}
