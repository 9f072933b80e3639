package forecast

// Usual is the typical request of an engine: averages over its last requests, in tokens. The engine's
// capacity is reported to other hosts in terms of it. The zero value has no observations.
type Usual struct{ prompt, answer, estimated Moment }

// typicalWindow is how many requests the averages cover.
const typicalWindow = 10

// Learn records a request for capacity: the tokens of its prompt, of the longest answer that it
// allows, and of its caller's estimate of the answer; 0: none.
func (u *Usual) Learn(prompt, answer, estimate int) {
	u.prompt.LearnOf(float64(prompt), typicalWindow)
	u.answer.LearnOf(float64(answer), typicalWindow)
	if estimate > 0 {
		u.estimated.LearnOf(float64(estimate), typicalWindow)
	}
}

// Prompt returns the tokens of the prompt.
func (u *Usual) Prompt() int { return max(1, int(u.prompt.Mean)) }

// Answer returns the tokens of the longest allowed answer.
func (u *Usual) Answer() int { return max(1, int(u.answer.Mean)) }

// Guess returns the callers' estimate of the answer; 0: there is none.
func (u *Usual) Guess() int { return int(u.estimated.Mean) }
