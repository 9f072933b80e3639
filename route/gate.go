package route

import "github.com/embercove/embercove/config"

// Reason is why a request may not go to an endpoint now.
type Reason uint8

// The reasons, in the order in which they are checked. Those that apply to every request come
// first.
const (
	ReasonNone             Reason = iota
	ReasonGone                    // no longer in the configuration
	ReasonLeaving                 // the endpoint is leaving
	ReasonUnconfirmed             // its registration was gone and may have been restored from an old copy of the store
	ReasonEvacuated               // its failure domain is being evacuated
	ReasonDown                    // its owner can't reach it
	ReasonWrongState              // not in the ordered state
	ReasonCutOff                  // its failure domain is cut off from this host
	ReasonNoPath                  // neither this host nor another one that it asked reaches it
	ReasonBackoff                 // it asked this host to back off
	ReasonSoftware                // it runs another software version than the one that began the answer
	ReasonRegionNotAllowed        // its region is not one of the request's allowed regions
	ReasonRemoteRegion            // in a remote region, and the request has no reason to be redirected
	ReasonCold                    // cold, and no start permit is available yet
	ReasonLimited                 // it names a limit, and no start permit is available yet
	ReasonConnections             // this host's share of its connections is used up
	ReasonExcluded                // refused or failed the request before
	ReasonProbe                   // it runs the probe of a request that may crash it
	reasonCount
)

// String returns the reason as operators see it.
func (b Reason) String() string {
	switch b {
	case ReasonNone:
		return ""
	case ReasonGone:
		return "gone"
	case ReasonLeaving:
		return "leaving"
	case ReasonUnconfirmed:
		return "gone before the store came back from a copy"
	case ReasonEvacuated:
		return "its failure domain is being emptied"
	case ReasonDown:
		return "unreachable from its owner"
	case ReasonWrongState:
		return "not in the ordered state"
	case ReasonCutOff:
		return "its failure domain is cut off from this host"
	case ReasonNoPath:
		return "neither this host nor another one reaches it"
	case ReasonBackoff:
		return "it asked this host to back off"
	case ReasonSoftware:
		return "it runs another software version than the one that began the answer"
	case ReasonRegionNotAllowed:
		return "its region is not allowed for the request"
	case ReasonRemoteRegion:
		return "in another region"
	case ReasonCold:
		return "cold, and no start permit is available yet"
	case ReasonLimited:
		return "at the limit that it names, and no start permit is available yet"
	case ReasonConnections:
		return "this host's share of its connections is used up"
	case ReasonExcluded:
		return "refused or failed this request before"
	case ReasonProbe:
		return "it runs the probe of another request that may crash endpoints"
	}
	return "unknown"
}

// Reasons lists all reasons in order.
func Reasons() (out []Reason) {
	for b := ReasonGone; b < reasonCount; b++ {
		out = append(out, b)
	}
	return out
}

// Label returns the reason as a metric label.
func (b Reason) Label() string {
	return [reasonCount]string{"", "gone", "leaving", "doubted", "emptied", "down", "wrong_state", "cut_off", "no_path", "resting", "software", "no_home", "other_region", "cold", "limited", "connections", "excluded", "trial"}[b]
}

// IneligibleReason returns why a request may not be sent to an endpoint of any role now;
// ReasonNone: it may. Every path checks it when an endpoint is chosen and again just before the
// call.
func IneligibleReason(s *State, r *Request) Reason {
	switch {
	case s.IsLeaving():
		return ReasonLeaving
	case r.Now.Before(s.UnconfirmedUntil):
		return ReasonUnconfirmed
	case s.Evacuated, r.EvacuatedDomains&(1<<s.Domain) != 0:
		return ReasonEvacuated
	case s.Digest.Flags&FlagDown != 0:
		return ReasonDown
	case s.Digest.Flags&FlagWrongState != 0:
		return ReasonWrongState
	case r.Now.Before(s.CutOffUntil):
		return ReasonCutOff
	case r.Now.Before(s.NoPathUntil):
		return ReasonNoPath
	case s.IsBackingOff(r.Now):
		return ReasonBackoff
	case r.Continues && s.Role != config.Prefill && s.Spec.Software != r.Software:
		return ReasonSoftware
	case r.AllowedRegions != 0 && !r.AllowedRegions.Has(s.Region):
		return ReasonRegionNotAllowed
	case !(r.Region | r.RemoteRegions).Has(s.Region):
		return ReasonRemoteRegion
	case r.Now.Before(s.NoPermitUntil) && s.IsCold(r.Now):
		return ReasonCold
	case r.Now.Before(s.NoPermitUntil) && s.Limit.Report().Named:
		return ReasonLimited
	case !s.hasConnection(r.Hosts):
		return ReasonConnections
	case r.Excluded(s.Number):
		return ReasonExcluded
	}
	return ReasonNone
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
	return s.InFlight < max(1, int(connectionsShare*float64(s.Connections)/float64(max(1, hosts))))
}

// Eligible reports whether a request may be sent to an endpoint of any role now.
func Eligible(s *State, r *Request) bool { return IneligibleReason(s, r) == ReasonNone }

// MainReason returns the most frequent reason among endpoints of which none is eligible for a
// request; ReasonNone: the list is empty. Being in a remote region and running another software version
// count only if there is no other reason.
func MainReason(list []*State, r *Request) Reason {
	var counts [reasonCount]int
	for _, s := range list {
		counts[IneligibleReason(s, r)]++
	}
	reason := ReasonNone
	for b := ReasonGone; b < reasonCount; b++ {
		if b != ReasonRemoteRegion && b != ReasonSoftware && counts[b] > counts[reason] {
			reason = b
		}
	}
	switch {
	case reason != ReasonNone:
		return reason
	case counts[ReasonSoftware] > 0:
		return ReasonSoftware
	case counts[ReasonRemoteRegion] > 0:
		return ReasonRemoteRegion
	}
	return ReasonNone
}
