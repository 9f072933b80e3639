package forecast

import "time"

// Prefill learns how long an engine's prefills take. An engine processes one prompt after the other.
// Each call also takes a fixed time, during which the engine already processes the next prompt. So
// the time of a call to an idle engine is linear in its tokens, and the time between the ends of
// consecutive calls to a busy engine is proportional to its tokens. Both are fitted together by
// least squares, in which older calls count less.
type Prefill struct {
	configured float64 // seconds per thousand tokens
	prior      fit     // before any observation

	idle sums // calls to an idle engine: the fixed time plus that of the tokens
	busy sums // intervals of a busy engine, without the fixed time
}

// fit is a line: fixed seconds per call, and seconds per thousand tokens.
type fit struct{ lag, slope float64 }

// sums holds the sums of a least-squares fit: number of observations, thousands of tokens, seconds,
// squared tokens, and tokens times seconds.
type sums struct{ n, x, y, xx, xy float64 }

// fade reduces the weight of all observations.
func (s *sums) fade(by float64) {
	s.n, s.x, s.y, s.xx, s.xy = s.n*by, s.x*by, s.y*by, s.xx*by, s.xy*by
}

func (s *sums) add(tokens, seconds float64) {
	s.n++
	s.x += tokens
	s.y += seconds
	s.xx += tokens * tokens
	s.xy += tokens * seconds
}

// Weights and bounds of the fit.
const (
	rememberedCalls  = 40.0             // some seconds of an engine under load
	idleFactor       = 4.0              // calls to an idle engine are remembered this many times longer while it is busy
	lagPriorWeight   = 1.0              // weight of the prior of the fixed time, in calls
	slopePriorWeight = 4.0              // weight of the prior of the slope, in calls of a thousand tokens
	maxDeviation     = 8.0              // largest factor between the learned and the configured rate, either way
	thousand         = 1000.0           // tokens
	minPrefillTime   = time.Millisecond // for any prompt
)

// NewPrefill returns the fit of an engine without observations.
func NewPrefill(tokensPerSecond float64) Prefill {
	slope := thousand / tokensPerSecond
	return Prefill{configured: slope, prior: fit{slope: slope}}
}

// Inherit sets the prior from another host's digest: the factor on the engine's configured time per
// token, and the fixed time of a call.
func (p *Prefill) Inherit(slow float64, lag time.Duration) {
	p.prior = fit{lag: lag.Seconds(), slope: p.configured * slow}
}

// line returns the current fit.
func (p *Prefill) line() fit {
	n, x, y := p.idle.n+lagPriorWeight, p.idle.x, p.idle.y+lagPriorWeight*p.prior.lag
	xx := p.idle.xx + p.busy.xx + slopePriorWeight
	xy := p.idle.xy + p.busy.xy + slopePriorWeight*p.prior.slope
	f := fit{slope: (n*xy - x*y) / (n*xx - x*x)}
	f.slope = min(p.configured*maxDeviation, max(p.configured/maxDeviation, f.slope))
	f.lag = max(0, (y-f.slope*x)/n)
	return f
}

// Interval is an interval of uninterrupted work of an engine, as far as its owner knows.
type Interval struct {
	From      time.Time // the start of a call to the idle engine, or the end of another call
	AfterCall bool      // From is the end of another call
	Tokens    int       // prefilled since From
}

// Learn records a call that ended. Its tokens took at most as long as the call, and those of its
// interval at most as long as the interval. One of the two bounds is tight: the first if the engine
// was idle when the call came, else the second. So the bound with the higher rate counts.
func (p *Prefill) Learn(tokens int, took time.Duration, s Interval, end time.Time) {
	f := p.line()
	ownTokens, ownTime := float64(max(1, tokens))/thousand, took.Seconds()
	allTokens, allTime := float64(max(1, s.Tokens))/thousand, end.Sub(s.From).Seconds()
	allWork := allTime
	if !s.AfterCall {
		allWork -= f.lag
	}
	if allWork/allTokens >= (ownTime-f.lag)/ownTokens {
		p.busy.fade(1 - 1/rememberedCalls)
		p.idle.fade(1 - 1/rememberedCalls)
		p.idle.add(ownTokens, ownTime)
		return
	}
	p.busy.fade(1 - 1/rememberedCalls)
	p.idle.fade(1 - 1/(idleFactor*rememberedCalls))
	if s.AfterCall {
		p.busy.add(allTokens, allTime)
	} else {
		p.idle.add(allTokens, allTime)
	}
}

// Lag returns the fixed time of a call.
func (p *Prefill) Lag() time.Duration { return seconds(p.line().lag) }

// Work returns how long this many tokens keep the engine from the next prompt.
func (p *Prefill) Work(tokens int) time.Duration {
	return max(minPrefillTime, seconds(float64(tokens)/thousand*p.line().slope))
}

// SlowFactor returns the learned factor on the configured time per token.
func (p *Prefill) SlowFactor() float64 { return p.line().slope / p.configured }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
