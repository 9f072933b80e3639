package forecast

import "time"

// Reading learns how long an engine takes to read prompts. An engine reads
// one prompt after the other, and each call takes a fixed time besides, in which
// the engine already reads the next. So the time of a call to an idle engine is
// a line over its tokens, and the time from the end of one call to that of the
// next, at an engine that is never idle, is in proportion to its tokens. Both
// are fitted together by least squares, in which older calls count less.
type Reading struct {
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

// NewReading returns the pace of an engine of which nothing was seen yet.
func NewReading(tokensPerSecond float64) Reading {
	slope := thousand / tokensPerSecond
	return Reading{configured: slope, believed: fit{slope: slope}}
}

// Inherit begins with what another host told of the engine: the factor on its
// configured time of a token, and the fixed time of a call.
func (p *Reading) Inherit(slow float64, lag time.Duration) {
	p.believed = fit{lag: lag.Seconds(), slope: p.configured * slow}
}

// line returns the fit as things are.
func (p *Reading) line() fit {
	n, x, y := p.alone.n+lagPrior, p.alone.x, p.alone.y+lagPrior*p.believed.lag
	xx := p.alone.xx + p.chain.xx + slopePrior
	xy := p.alone.xy + p.chain.xy + slopePrior*p.believed.slope
	f := fit{slope: (n*xy - x*y) / (n*xx - x*x)}
	f.slope = min(p.configured*paceOff, max(p.configured/paceOff, f.slope))
	f.lag = max(0, (y-f.slope*x)/n)
	return f
}

// Stretch is work of an engine without a pause, as far as its owner knows.
type Stretch struct {
	From   time.Time // a call to the engine when it was idle, or the end of another call
	Told   bool      // the end of another call
	Tokens int       // read since
}

// Learn takes in a call that ended. Its tokens took at most as long as the call,
// and those of its Stretch at most as long as the Stretch. One of the bounds is
// tight: the first if the engine was idle when the call came, the second if it
// was not. So the one counts that allows the faster pace.
func (p *Reading) Learn(tokens int, took time.Duration, s Stretch, end time.Time) {
	f := p.line()
	ownTokens, own := float64(max(1, tokens))/thousand, took.Seconds()
	allTokens, all := float64(max(1, s.Tokens))/thousand, end.Sub(s.From).Seconds()
	allWork := all
	if !s.Told {
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
	if s.Told {
		p.chain.add(allTokens, all)
	} else {
		p.alone.add(allTokens, all)
	}
}

// Lag returns the fixed time of a call.
func (p *Reading) Lag() time.Duration { return seconds(p.line().lag) }

// Work returns how long the engine is kept from the next prompt by so many
// tokens.
func (p *Reading) Work(tokens int) time.Duration {
	return max(leastRead, seconds(float64(tokens)/thousand*p.line().slope))
}

// Slow returns the factor on the configured time of a token.
func (p *Reading) Slow() float64 { return p.line().slope / p.configured }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
