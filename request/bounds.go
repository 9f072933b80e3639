package request

// MaxTokens bounds the tokens that are counted of a prompt or an answer, far above the memory of any engine: forecasts multiply
// them with times.
const MaxTokens = 1 << 24

// BoundTokens returns a number of tokens that somebody else states, from 0 to MaxTokens.
func BoundTokens(n int) int { return min(max(0, n), MaxTokens) }
