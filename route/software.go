package route

import (
	"time"

	"github.com/embercove/embercove/config"
)

// softwareWatch records which software versions the endpoints of each pool have run.
type softwareWatch struct {
	since    time.Time                       // when the watch began
	lastSeen map[string]map[string]time.Time // by pool and version: when an endpoint last ceased to run it
}

// softwareForgottenAfter is how long a version that no endpoint runs any more is remembered.
const softwareForgottenAfter = time.Hour

// begin begins the watch, anew if it had begun.
func (w *softwareWatch) begin(now time.Time) { w.since = now }

// replaced records that an endpoint was replaced by another registration, or by none.
func (w *softwareWatch) replaced(old, e *config.Endpoint, now time.Time) {
	if e != nil && e.Software == old.Software && e.Pool == old.Pool {
		return
	}
	if w.lastSeen == nil {
		w.lastSeen = map[string]map[string]time.Time{}
	}
	seen := w.lastSeen[old.Pool]
	if seen == nil {
		seen = map[string]time.Time{}
		w.lastSeen[old.Pool] = seen
	}
	for software, at := range seen {
		if now.Sub(at) > softwareForgottenAfter {
			delete(seen, software)
		}
	}
	seen[old.Software] = now
}

// SoleSoftware returns the software version that all of some endpoints run, if none of their pools had an endpoint of
// another one for at least d.
func (f *Fleet) SoleSoftware(list []*State, d time.Duration, now time.Time) (software string, ok bool) {
	if len(list) == 0 || f.software.since.IsZero() || now.Sub(f.software.since) < min(d, softwareForgottenAfter) {
		return "", false
	}
	software = list[0].Spec.Software
	for _, s := range list {
		if s.Spec.Software != software {
			return "", false
		}
		for other, at := range f.software.lastSeen[s.Spec.Pool] {
			if other != software && now.Sub(at) < d {
				return "", false
			}
		}
	}
	return software, true
}
