package owner

// usual is the request that an engine is usually asked for room for: averages
// of the last ones, in tokens. What others are told of the engine's room is told
// for this one.
type usual struct{ prompt, answer, guessed moment }

// usualMemory is how many requests the averages remember.
const usualMemory = 10

// learn takes in a request that asks for room.
func (u *usual) learn(a ReserveArgs) {
	u.prompt.learnOf(float64(a.Tokens), usualMemory)
	u.answer.learnOf(float64(a.MaxAnswer), usualMemory)
	if a.Expected > 0 {
		u.guessed.learnOf(float64(a.Expected), usualMemory)
	}
}

// size returns the tokens of the prompt.
func (u *usual) size() int { return max(1, int(u.prompt.mean)) }

// asks returns the tokens of the longest answer that is asked for.
func (u *usual) asks() int { return max(1, int(u.answer.mean)) }

// guess returns the callers' guess of the answer; 0: there is none.
func (u *usual) guess() int { return int(u.guessed.mean) }
