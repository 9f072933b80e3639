package peer

import (
	"time"

	"github.com/embercove/embercove/config"
)

// Hosts that other hosts keep up to date don't ask the platform by themselves: with
// a watch each, hundreds of hosts make as many calls for each change.

// What a host may rely on that others keep up to date, in shares of the time within which
// a change has to be in force. Else it asks the platform by itself.
const (
	// relyShare is how old the platform's last answer to any host may be. If all hosts
	// that ask are stopped, or lose the platform without a sign, a change that comes
	// then is noticed when their last answer is so old; the rest is for the answer, which
	// takes a second with a document of a megabyte over 10 Mbit/s, and for telling it.
	// The hosts that ask get an answer in a third of the bound, each at its own time.
	relyShare = 0.45
	// behindShare is how long it may lack what others are known to have: a fetch over a
	// connection that says nothing is given up after two time-outs of a call, and one more
	// over a new connection mostly takes less than one.
	behindShare = 0.25
)

// relyFor and behindFor stand for these shares where the bound is unknown.
const (
	relyFor   = 6 * time.Second
	behindFor = time.Second
)

// Relies reports whether other hosts keep this one up to date: whether they have told lately
// what the platform holds, and this one has all that they have.
func (r *Router) Relies(now time.Time) bool {
	fresh, behind := relyFor, behindFor
	if bound := config.FractionMillis(r.board.Settings.ChangeMillis); bound > 0 {
		fresh, behind = time.Duration(relyShare*float64(bound)), time.Duration(behindShare*float64(bound))
	}
	return r.board.Config.ToldWithin(now, fresh) && r.board.Config.Behind(now) < behind
}
