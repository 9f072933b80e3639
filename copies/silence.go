package copies

import "time"

// When an engine that writes nothing is asked whether it lives. A copy is kept for
// half a second after the engine fell silent on the deployments that offer copies, so
// the silence has to be noticed and confirmed well within that.
const (
	quietFactor = 3                      // times the pause that is expected
	quietLeast  = 100 * time.Millisecond // below it the pauses of a busy engine are met
	quietMost   = 250 * time.Millisecond // beyond it the copy is gone before it is taken up
)

// Quiet returns how long an engine may write nothing until it is asked whether it
// lives. pause is the longest expected between two pieces: what the answer showed so
// far, or the forecast.
func Quiet(pause time.Duration) time.Duration {
	return min(max(quietFactor*pause, quietLeast), quietMost)
}
