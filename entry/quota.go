package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/embercove/embercove/result"
)

// drawQuota charges a job's request to its team's quota. It returns a refusal if the quota
// is exceeded.
func (e *Entry) drawQuota(ctx context.Context, j *job) *result.Error {
	q := &j.team.Quota
	if q.Rate == 0 {
		return nil
	}
	answer := 0
	if j.prompted {
		answer = j.work.MaxTokens
	}
	n := q.Cost(j.tokens, answer)
	a := e.owners.DrawQuota(ctx, j.team, n)
	if a.OK {
		j.quotaDrawn = n
		return nil
	}
	return result.Errorf(result.TeamQuota, "team %s exceeds its quota of %.0f %s per second: %.0f requested, %.0f free, %.2f of the limit in use",
		j.team.Name, q.Rate, q.Unit, n, a.Level, a.Use).After(jitter(a.After))
}

// quotaJitter spreads the retry times of callers that were promised the same time, as a
// share of the wait.
const quotaJitter = 0.25

// jitter adds a random share to a retry time.
func jitter(d time.Duration) time.Duration {
	return d + rand.N(time.Duration(quotaJitter*float64(d))+time.Millisecond)
}

// refundQuota returns the job's charge if nothing of it has run. A job that runs is charged
// once, for what it asked: ending early or running again changes nothing.
func (e *Entry) refundQuota(j *job, code result.Code) {
	if j.quotaDrawn > 0 && code.NotRun() {
		e.owners.Refund(j.team, j.quotaDrawn)
	}
}
