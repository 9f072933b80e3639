package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/embercove/embercove/request"
)

// What was in progress at a crash is a bystander if something else is blamed for that crash: a request that had just begun
// there and at other crashes, or a part of prompts. A request that many callers send with long answers is in progress
// everywhere, and so at each crash of a deadly one.
//
// A crash is attributed to what had just begun at the most crashes, if these suffice to blame it and it was rarely there as
// an old run: what is in progress everywhere has just begun at some crashes by chance. That is derived from the records
// whenever they change, so it is withdrawn as soon as the other request is cleared.

// cause is something to which the crash of one process is attributed.
type cause struct {
	process  Process
	endpoint uint32 // of the process (endpointKey)
	at       time.Time
	request  request.Fingerprint // zero: a part of prompts
	crashes  int                 // in all, at which it had just begun
}

// sameCrashTime is the most by which hosts differ in when they find an endpoint crashed.
const sameCrashTime = time.Second

// explains reports whether a crash is the one that is attributed to the cause. Hosts may have two names for one process, as some
// learn later than others that its predecessor has crashed (SuccessorOf).
func (c *cause) explains(p Process, crash pastCrash) bool {
	return c.process == p || c.endpoint != 0 && c.endpoint == crash.endpoint && c.at.Sub(crash.at).Abs() < sameCrashTime
}

// causes returns what crashes are attributed to. The caller holds the lock.
func (r *Registry) causes() []cause {
	if r.knownCauses != nil {
		return r.knownCauses
	}
	r.knownCauses = append([]cause{}, r.partCauses...)
	for f, seen := range r.presences() {
		if !seen.isCause() {
			continue
		}
		for stage := range stages {
			c := r.records[recordKey{f, stage}]
			if c == nil {
				continue
			}
			for p, crash := range c.history.crashes {
				if crash.young {
					r.knownCauses = append(r.knownCauses, cause{p, crash.endpoint, crash.at, f, seen.young})
				}
			}
		}
	}
	return r.knownCauses
}

// presence is how often a request was there when processes crashed.
type presence struct {
	young int // it had just begun
	old   int
}

// maxOldShare is how many old runs of a cause there may be for each crash at which it had just begun.
const maxOldShare = 1.0 / 3

// isPopular reports whether the request was there as an old run so often that it has just begun at other crashes by chance.
func (p presence) isPopular() bool { return float64(p.old) > maxOldShare*float64(p.young) }

// isCause reports whether crashes are attributed to the request.
func (p presence) isCause() bool { return p.young >= blameAt && !p.isPopular() }

// maxYoungBystander is at how many crashes a request that isn't popular may have just begun by chance. Of several deadly
// requests at the same endpoints none excuses the others.
const maxYoungBystander = 1

// isBystander reports whether a crash may be attributed to something else than the request.
func (p presence) isBystander(c pastCrash) bool {
	return !c.young || p.young <= maxYoungBystander || p.isPopular()
}

// presences returns how often each request was there when processes crashed. The caller holds the lock.
func (r *Registry) presences() map[request.Fingerprint]presence {
	out := map[request.Fingerprint]presence{}
	for k, c := range r.records {
		p, young := out[k.request], c.history.youngCrashes()
		out[k.request] = presence{p.young + young, p.old + len(c.history.crashes) - young}
	}
	return out
}

// presence returns how often a request was there when processes crashed. The caller holds the lock.
func (r *Registry) presence(f request.Fingerprint) (p presence) {
	for stage := range stages {
		if c := r.records[recordKey{f, stage}]; c != nil {
			young := c.history.youngCrashes()
			p.young, p.old = p.young+young, p.old+len(c.history.crashes)-young
		}
	}
	return p
}

// isAttributed reports whether a crash is attributed to something else than a request. The caller holds the lock.
func (r *Registry) isAttributed(p Process, crash pastCrash, f request.Fingerprint, seen presence) bool {
	if !seen.isBystander(crash) {
		return false
	}
	for i := range r.causes() {
		c := &r.knownCauses[i]
		if c.request != f && (c.crashes > seen.young || seen.isPopular()) && c.explains(p, crash) {
			return true
		}
	}
	return false
}

// attributedCrashes returns how many crashes of a request's history are attributed to something else, and when the last
// of all others was. The caller holds the lock.
func (r *Registry) attributedCrashes(f request.Fingerprint, h *history) (n int, lastOwn time.Time) {
	seen := r.presence(f)
	for p, c := range h.crashes {
		if r.isAttributed(p, c, f, seen) {
			n++
		} else {
			lastOwn = later(lastOwn, c.at)
		}
	}
	return n, lastOwn
}

// setPartCauses sets the crashes that are attributed to parts of prompts.
func (r *Registry) setPartCauses(causes []cause) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partCauses = causes
	r.knownCauses = nil
}

// attributeCrashes tells the registry of whole requests which crashes are attributed to parts. The caller holds the lock.
func (p *Parts) attributeCrashes() {
	if p.requests == nil {
		return
	}
	causes := map[Process]cause{}
	for part := range p.byPart {
		if p.requestsOf(part) < blameRequests {
			continue
		}
		counted := p.counted(part)
		n := len(byProcess(counted))
		for _, c := range counted {
			if n > causes[c.Start].crashes {
				causes[c.Start] = cause{process: c.Start, endpoint: endpointKey(c.Endpoint), at: c.at, crashes: n}
			}
		}
	}
	p.requests.setPartCauses(slices.Collect(maps.Values(causes)))
}
