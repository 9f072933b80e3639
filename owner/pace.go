package owner

import (
	"time"

	"github.com/embercove/embercove/route"
)

// readPace learns how long an engine takes to read prompts. An engine reads
// one prompt after the other, and each call takes a fixed time besides, in which
// the engine already reads the next. So the time of a call to an idle engine is
// a line over its tokens, and the time from the end of one call to that of the
// next, at an engine that is never idle, is in proportion to its tokens. Both
// are fitted together by least squares, in which older calls count less.
type readPace struct {
	configured float64 // seconds a thousand tokens
	believed   fit     // before any call was seen

	alone sums // calls to an idle engine: the fixed time and that of the tokens
	chain sums // stretches without the fixed time
}

// fit is the line: seconds of a call, and seconds for each thousand tokens.
type fit struct{ lag, slope float64 }

// sums of observations: how many, thousands of tokens, seconds, squares of
// tokens, and tokens times seconds.
type sums struct{ n, x, y, xx, xy float64 }

// fade has what was seen count less.
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

// Weights and bounds of what is learned of reading.
const (
	paceMemory = 40.0             // calls that are remembered: some seconds of an engine under load
	aloneFade  = 4.0              // times as long calls to an idle engine count while it never is
	lagPrior   = 1.0              // calls that the belief of the fixed time weighs
	slopePrior = 4.0              // calls of a thousand tokens that the belief of the slope weighs
	paceOff    = 8.0              // times by which an engine may be off its configured rate, either way
	thousand   = 1000.0           // tokens
	leastRead  = time.Millisecond // of any prompt
)

// newReadPace returns the pace of an engine of which nothing was seen yet.
func newReadPace(tokensPerSecond float64) readPace {
	slope := thousand / tokensPerSecond
	return readPace{configured: slope, believed: fit{slope: slope}}
}

// inherit begins with what another host told of the engine.
func (p *readPace) inherit(d route.Digest) {
	if d.SlowPct == 0 {
		return
	}
	p.believed = fit{lag: float64(d.LagMillis) / 1000, slope: p.configured * float64(d.SlowPct) / 100}
}

// line returns the fit as things are.
func (p *readPace) line() fit {
	n, x, y := p.alone.n+lagPrior, p.alone.x, p.alone.y+lagPrior*p.believed.lag
	xx := p.alone.xx + p.chain.xx + slopePrior
	xy := p.alone.xy + p.chain.xy + slopePrior*p.believed.slope
	f := fit{slope: (n*xy - x*y) / (n*xx - x*x)}
	f.slope = min(p.configured*paceOff, max(p.configured/paceOff, f.slope))
	f.lag = max(0, (y-f.slope*x)/n)
	return f
}

// stretch is work of an engine without a pause, as far as its owner knows.
type stretch struct {
	from   time.Time // a call to the engine when it was idle, or the end of another call
	told   bool      // the end of another call
	tokens int       // read since
}

// learn takes in a call that ended. Its tokens took at most as long as the call,
// and those of its stretch at most as long as the stretch. One of the bounds is
// tight: the first if the engine was idle when the call came, the second if it
// was not. So the one counts that allows the faster pace.
func (p *readPace) learn(tokens int, took time.Duration, s stretch, end time.Time) {
	f := p.line()
	ownTokens, own := float64(max(1, tokens))/thousand, took.Seconds()
	allTokens, all := float64(max(1, s.tokens))/thousand, end.Sub(s.from).Seconds()
	allWork := all
	if !s.told {
		allWork -= f.lag
	}
	if allWork/allTokens >= (own-f.lag)/ownTokens {
		p.chain.fade(1 - 1/paceMemory)
		p.alone.fade(1 - 1/paceMemory)
		p.alone.add(ownTokens, own)
		return
	}
	p.chain.fade(1 - 1/paceMemory)
	p.alone.fade(1 - 1/(aloneFade*paceMemory))
	if s.told {
		p.chain.add(allTokens, all)
	} else {
		p.alone.add(allTokens, all)
	}
}

// lag returns the fixed time of a call.
func (p *readPace) lag() time.Duration { return seconds(p.line().lag) }

// work returns how long the engine is kept from the next prompt by so many
// tokens.
func (p *readPace) work(tokens int) time.Duration {
	return max(leastRead, seconds(float64(tokens)/thousand*p.line().slope))
}

// slow returns the factor on the configured time of a token.
func (p *readPace) slow() float64 { return p.line().slope / p.configured }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
