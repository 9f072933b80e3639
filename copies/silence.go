package copies

import "time"

// When a silent decode engine is probed. Deployments with replicas keep one for half a second after
// the engine fell silent, so silence must be detected and confirmed well within that time.
const (
	silenceFactor = 3                      // times the expected pause
	minSilence    = 100 * time.Millisecond // busy engines normally pause for less than this
	maxSilence    = 250 * time.Millisecond // any longer, and the replica expires before the request continues from it
)

// SilenceLimit returns how long an engine may send nothing before it is probed. pause is the longest
// expected pause between two chunks: as observed in this answer, or by forecast.
func SilenceLimit(pause time.Duration) time.Duration {
	return min(max(silenceFactor*pause, minSilence), maxSilence)
}
