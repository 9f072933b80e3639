package peer

import (
	"time"

	"github.com/embercove/embercove/config"
)

// Hosts that are kept up to date by other hosts don't watch the platform themselves: if each of
// hundreds of hosts had a watch, every change would cost as many calls.

// How far a host may rely on others to keep it up to date, as shares of the time within which a
// change has to take effect. Beyond that it asks the platform itself.
const (
	// relyShare is how old the platform's last answer to any host may be. If all hosts that watch
	// the platform are stopped, or lose it silently, the others notice a later change only once
	// that last answer is so old. The rest of the time is for the platform's answer, which takes
	// a second for a document of a megabyte over 10 Mbit/s, and for distributing it. The watching
	// hosts get an answer within a third of the bound, each at a different time.
	relyShare = 0.45
	// behindShare is how long it may lack what others are known to have: a fetch over a silent
	// connection is abandoned after two call timeouts, and a retry over a new connection usually
	// takes less than one.
	behindShare = 0.25
)

// relyFor and behindFor are used instead of these shares if the bound is unknown.
const (
	relyFor   = 6 * time.Second
	behindFor = time.Second
)

// ReliesOnPeers reports whether other hosts keep this one up to date: whether they reported recently
// what the platform holds, and this host has everything that they have.
func (r *Router) ReliesOnPeers(now time.Time) bool {
	maxAge, maxBehind := relyFor, behindFor
	if bound := config.FractionMillis(r.board.Settings.ChangeMillis); bound > 0 {
		maxAge, maxBehind = time.Duration(relyShare*float64(bound)), time.Duration(behindShare*float64(bound))
	}
	return r.board.Config.ReportedWithin(now, maxAge) && r.board.Config.Behind(now) < maxBehind
}
