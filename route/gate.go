package route

import "github.com/embercove/embercove/config"

// Bar is why a request may not go to an endpoint now.
type Bar uint8

// The bars, in the order in which they are looked at. Those that hold for any request
// come first.
const (
	BarNone        Bar = iota
	BarGone            // no longer in the configuration
	BarLeaving         // the endpoint leaves
	BarDoubted         // it was gone, and a copy of the store may have brought its registration back
	BarEvacuated       // its failure domain is being emptied
	BarDown            // out of its owner's reach
	BarWrong           // not in the state that was ordered
	BarCutOff          // its failure domain is cut off from this host
	BarResting         // it asked this host for rest
	BarHome            // its region is not one in which the request may be served
	BarRegion          // in another region, which the request has no reason to go to
	BarCold            // cold, and no start is to be had there yet
	BarLimited         // it names a limit, and no start is to be had there yet
	BarConnections     // this host's part of the connections that it takes is used up
	BarExcluded        // refused or failed the request before
	BarTrial           // a request that is tried with it may end it runs there
	bars
)

// String returns the bar in words, as operators see it.
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
		return "out of reach of its owner"
	case BarWrong:
		return "not in the ordered state"
	case BarCutOff:
		return "its failure domain is cut off from this host"
	case BarResting:
		return "it asked this host for rest"
	case BarHome:
		return "its region is none in which the request may be served"
	case BarRegion:
		return "in another region"
	case BarCold:
		return "cold, with no start to be had yet"
	case BarLimited:
		return "at the limit that it names, with no start to be had yet"
	case BarConnections:
		return "this host's part of the connections that it takes is used up"
	case BarExcluded:
		return "refused or failed this request before"
	case BarTrial:
		return "another request under which endpoints ended runs there"
	}
	return "unknown"
}

// Bars lists all bars, in their order.
func Bars() (out []Bar) {
	for b := BarGone; b < bars; b++ {
		out = append(out, b)
	}
	return out
}

// Label returns the bar as a label of metrics.
func (b Bar) Label() string {
	return [bars]string{"", "gone", "leaving", "doubted", "emptied", "down", "wrong_state", "cut_off", "resting", "no_home", "other_region", "cold", "limited", "connections", "excluded", "trial"}[b]
}

// Barred returns why a request may not be sent to an endpoint of any role now; BarNone:
// it may. Every way out asks it, when an endpoint is chosen and again just before the call.
func Barred(s *State, r *Request) Bar {
	switch {
	case s.IsLeaving():
		return BarLeaving
	case r.Now.Before(s.Doubted):
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
	case !s.connects(r.Hosts):
		return BarConnections
	case r.Excluded(s.Number):
		return BarExcluded
	}
	return BarNone
}

// connectionsPart is the part of an endpoint's connections that hosts share. Calls that are just
// being made aren't counted yet, and a host that starts isn't known to the others at once.
const connectionsPart = 0.9

// connects reports whether one more call keeps this host within its even part of the connections
// that a plain service takes from all hosts. It resets what is beyond them, and a call that it
// reset may have run. What engines run at once is known to their owners, and is less.
func (s *State) connects(hosts int) bool {
	if s.Role != config.Service || s.Connections == 0 {
		return true
	}
	return s.Sent < max(1, int(connectionsPart*float64(s.Connections)/float64(max(1, hosts))))
}

// Open reports whether a request may be sent to an endpoint of any role now.
func Open(s *State, r *Request) bool { return Barred(s, r) == BarNone }

// Blame returns what bars most of some endpoints from a request, of which it may go to
// none; BarNone: there are none. Regions that it has no reason to go to don't count
// where anything else bars.
func Blame(list []*State, r *Request) Bar {
	var counts [bars]int
	for _, s := range list {
		counts[Barred(s, r)]++
	}
	blamed := BarNone
	for b := BarGone; b < bars; b++ {
		if b != BarRegion && counts[b] > counts[blamed] {
			blamed = b
		}
	}
	if blamed == BarNone && counts[BarRegion] > 0 {
		return BarRegion
	}
	return blamed
}
