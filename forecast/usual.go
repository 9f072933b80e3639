package forecast

// Typical is the typical request of an engine: averages over its last requests, in tokens. The wait
// for capacity that is reported to other hosts is the wait of such a request. The zero value has no
// observations.
type Typical struct{ prompt, answer, estimated RunningMean }

// typicalWindow is how many requests the averages cover.
const typicalWindow = 10

// Learn records a request for capacity: the tokens of its prompt, of the longest answer that it
// allows, and of its caller's estimate of the answer; 0: none.
func (u *Typical) Learn(prompt, answer, estimate int) {
	u.prompt.LearnWindow(float64(prompt), typicalWindow)
	u.answer.LearnWindow(float64(answer), typicalWindow)
	if estimate > 0 {
		u.estimated.LearnWindow(float64(estimate), typicalWindow)
	}
}

// Prompt returns the tokens of the prompt.
func (u *Typical) Prompt() int { return max(1, int(u.prompt.Mean)) }

// Answer returns the tokens of the longest allowed answer.
func (u *Typical) Answer() int { return max(1, int(u.answer.Mean)) }

// Estimate returns the callers' estimate of the answer; 0: there is none.
func (u *Typical) Estimate() int { return int(u.estimated.Mean) }
