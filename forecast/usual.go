package forecast

// Usual is the request that an engine is usually asked for room for: averages
// of the last ones, in tokens. What others are told of the engine's room is told
// for this one. The zero value has seen none.
type Usual struct{ prompt, answer, guessed Moment }

// usualMemory is how many requests the averages remember.
const usualMemory = 10

// Learn takes in a request that asks for room: the tokens of its prompt, of the
// longest answer that it allows, and of the answer by its caller's guess, 0: none.
func (u *Usual) Learn(prompt, answer, guess int) {
	u.prompt.LearnOf(float64(prompt), usualMemory)
	u.answer.LearnOf(float64(answer), usualMemory)
	if guess > 0 {
		u.guessed.LearnOf(float64(guess), usualMemory)
	}
}

// Prompt returns the tokens of the prompt.
func (u *Usual) Prompt() int { return max(1, int(u.prompt.Mean)) }

// Answer returns the tokens of the longest answer that is asked for.
func (u *Usual) Answer() int { return max(1, int(u.answer.Mean)) }

// Guess returns the callers' guess of the answer; 0: there is none.
func (u *Usual) Guess() int { return int(u.guessed.Mean) }
