package route

import "github.com/embercove/embercove/config"

// Bar is why a request may not go to an endpoint now.
type Bar uint8

// The reasons, in the order in which they are checked. Those that apply to every request come
// first.
const (
	BarNone        Bar = iota
	BarGone            // no longer in the configuration
	BarLeaving         // the endpoint is leaving
	BarDoubted         // its registration was gone and may have been restored from an old copy of the store
	BarEvacuated       // its failure domain is being evacuated
	BarDown            // its owner can't reach it
	BarWrong           // not in the ordered state
	BarCutOff          // its failure domain is cut off from this host
	BarResting         // it asked this host to back off
	BarHome            // its region is not one of the request's allowed regions
	BarRegion          // in a remote region, and the request has no reason to be redirected
	BarCold            // cold, and no start permit is available yet
	BarLimited         // it names a limit, and no start permit is available yet
	BarConnections     // this host's share of its connections is used up
	BarExcluded        // refused or failed the request before
	BarTrial           // it runs the probe of a request that may crash it
	reasonCount
)

// String returns the reason as operators see it.
func (b Bar) String() string {
	switch b {
	case BarNone:
		return ""
	case BarGone:
		return "gone"
	case BarLeaving:
		return "leaving"
	case BarDoubted:
		return "gone before the store came back from a copy"
	case BarEvacuated:
		return "its failure domain is being emptied"
	case BarDown:
		return "unreachable from its owner"
	case BarWrong:
		return "not in the ordered state"
	case BarCutOff:
		return "its failure domain is cut off from this host"
	case BarResting:
		return "it asked this host to back off"
	case BarHome:
		return "its region is not allowed for the request"
	case BarRegion:
		return "in another region"
	case BarCold:
		return "cold, and no start permit is available yet"
	case BarLimited:
		return "at the limit that it names, and no start permit is available yet"
	case BarConnections:
		return "this host's share of its connections is used up"
	case BarExcluded:
		return "refused or failed this request before"
	case BarTrial:
		return "it runs the probe of another request that may crash endpoints"
	}
	return "unknown"
}

// Bars lists all reasons in order.
func Bars() (out []Bar) {
	for b := BarGone; b < reasonCount; b++ {
		out = append(out, b)
	}
	return out
}

// Label returns the reason as a metric label.
func (b Bar) Label() string {
	return [reasonCount]string{"", "gone", "leaving", "doubted", "emptied", "down", "wrong_state", "cut_off", "resting", "no_home", "other_region", "cold", "limited", "connections", "excluded", "trial"}[b]
}

// Barred returns why a request may not be sent to an endpoint of any role now; zero: it may.
// Every path checks it when an endpoint is chosen and again just before the call.
func Barred(s *State, r *Request) Bar {
	switch {
	case s.IsLeaving():
		return BarLeaving
	case r.Now.Before(s.UnconfirmedUntil):
		return BarDoubted
	case s.Evacuated, r.Shut&(1<<s.Domain) != 0:
		return BarEvacuated
	case s.Digest.Flags&FlagDown != 0:
		return BarDown
	case s.Digest.Flags&FlagWrong != 0:
		return BarWrong
	case r.Now.Before(s.CutOff):
		return BarCutOff
	case s.IsResting(r.Now):
		return BarResting
	case r.Homes != 0 && !r.Homes.Has(s.Region):
		return BarHome
	case !(r.Region | r.Reach).Has(s.Region):
		return BarRegion
	case r.Now.Before(s.NoStart) && s.Cold(r.Now):
		return BarCold
	case r.Now.Before(s.NoStart) && s.Limit.Word().Named:
		return BarLimited
	case !s.hasConnection(r.Hosts):
		return BarConnections
	case r.Excluded(s.Number):
		return BarExcluded
	}
	return BarNone
}

// connectionsShare is the part of an endpoint's connections that is divided among the hosts. The
// rest is a margin: calls being set up aren't counted yet, and the other hosts don't know of a
// new host at once.
const connectionsShare = 0.9

// hasConnection reports whether one more call keeps this host within its even share of the
// connections that a plain service accepts from all hosts. The service resets connections beyond
// its limit, and a call that was reset may have run. Engines aren't checked: their owners bound
// what they run at once, which is less.
func (s *State) hasConnection(hosts int) bool {
	if s.Role != config.Service || s.Connections == 0 {
		return true
	}
	return s.Sent < max(1, int(connectionsShare*float64(s.Connections)/float64(max(1, hosts))))
}

// Open reports whether a request may be sent to an endpoint of any role now.
func Open(s *State, r *Request) bool { return Barred(s, r) == BarNone }

// Blame returns the most frequent reason among endpoints of which none is eligible for a request;
// zero: the list is empty. Being in a remote region counts only if there is no other reason.
func Blame(list []*State, r *Request) Bar {
	var counts [reasonCount]int
	for _, s := range list {
		counts[Barred(s, r)]++
	}
	reason := BarNone
	for b := BarGone; b < reasonCount; b++ {
		if b != BarRegion && counts[b] > counts[reason] {
			reason = b
		}
	}
	if reason == BarNone && counts[BarRegion] > 0 {
		return BarRegion
	}
	return reason
}
