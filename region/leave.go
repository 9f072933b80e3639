package region

import "time"

// Verdict says whether a request may be redirected to a region, and why.
type Verdict uint8

// The verdicts.
const (
	InTime       Verdict = iota // in time there, by forecast
	LastResort                  // no capacity is known there, but the request's own region has no endpoint at all
	NotAllowed                  // not one of the request's allowed regions
	NoEndpoint                  // no endpoint there is eligible for the request, or the region is cut off
	Unknown                     // no recent summary of it
	TooLate                     // too late there, by forecast
	NoCapacity                  // it offers no capacity
	ShareUsed                   // this host has used its share of the offered capacity
	VerdictCount                // number of verdicts
)

// String returns the verdict as operators see it.
func (v Verdict) String() string {
	switch v {
	case InTime:
		return "in time by forecast"
	case LastResort:
		return "nothing is known to be free there, and the own region has no endpoint"
	case NotAllowed:
		return "the request's homes keep it from there"
	case NoEndpoint:
		return "no endpoint there is open to it"
	case Unknown:
		return "nothing was told of it lately"
	case TooLate:
		return "too late by forecast"
	case NoCapacity:
		return "it offers no places"
	case ShareUsed:
		return "this host's part of its offer is in use"
	}
	return "unknown"
}

// Redirects reports whether a request may be redirected to a region with this verdict.
func (v Verdict) Redirects() bool { return v == InTime || v == LastResort }

// Need describes a request that its own region can't serve in time.
type Need struct {
	TimeLeft        time.Duration // until the answer, or its first chunk, is due
	Work            time.Duration // prefill and transfer, without queueing
	NoLocalEndpoint bool          // its own region has no eligible endpoint
}

// RemoteRegion is a remote region as a host sees it for one request.
type RemoteRegion struct {
	Summary
	Known             bool          // a summary was received
	Age               time.Duration // of the summary
	Detour            time.Duration // added latency of a request that is redirected, both ways
	Sent              int           // requests that this host has sent there since the summary was made
	Requesters        int           // hosts of the regions that lack capacity, which share the offer
	Allowed           bool          // one of the request's allowed regions
	EligibleEndpoints int           // eligible endpoints there
}

// shareFactor is the factor by which a host may exceed its even share of an offer. Requests reach
// hosts in bursts, and the owner there can still refuse. TestWays compares factors.
const shareFactor = 8

// Share returns how many requests a host may send to a region on one summary: its share of the
// offered capacity, weighted by trust. The next summary takes those requests into account. draw,
// in [0, 1), decides whether a fraction is rounded up.
func (r *RemoteRegion) Share(draw float64) int {
	part := shareFactor * float64(r.Capacity) * Trust(r.Age) / float64(max(1, r.Requesters))
	whole := int(part)
	if draw < part-float64(whole) {
		whole++
	}
	return whole
}

// Evaluate returns whether a request may be redirected to a region, and why.
func Evaluate(n Need, r *RemoteRegion, draw float64) Verdict {
	known := r.Known && Trust(r.Age) > 0
	wait := time.Duration(r.WaitMillis) * time.Millisecond
	switch {
	case !r.Allowed:
		return NotAllowed
	case r.EligibleEndpoints == 0:
		return NoEndpoint
	case r.Detour+n.Work > n.TimeLeft:
		return TooLate
	case n.NoLocalEndpoint && (!known || r.Capacity == 0 || r.Sent >= r.Share(draw)):
		return LastResort // the request can't be served otherwise, and the owner there can still refuse
	case !known:
		return Unknown
	case wait+r.Detour+n.Work > n.TimeLeft:
		return TooLate
	case r.Capacity == 0:
		return NoCapacity
	case r.Sent >= r.Share(draw):
		return ShareUsed
	}
	return InTime
}

// unknownWeight is the weight in Choose of a region with verdict LastResort, in requests.
const unknownWeight = 1.0

// Choose returns the index of the region that a request is redirected to, -1 if it stays, and the
// verdict of each. It draws at random, weighted by offered capacity and trust, so that hosts with
// the same view don't all choose the region that offers most. Both draws are in [0, 1).
func Choose(n Need, list []RemoteRegion, drawShare, drawRegion float64) (int, []Verdict) {
	verdicts := make([]Verdict, len(list))
	weights := make([]float64, len(list))
	sum := 0.0
	for i := range list {
		r := &list[i]
		switch verdicts[i] = Evaluate(n, r, drawShare); verdicts[i] {
		case InTime:
			weights[i] = float64(r.Capacity) * Trust(r.Age)
		case LastResort:
			weights[i] = unknownWeight
		}
		sum += weights[i]
	}
	remaining, best := drawRegion*sum, -1
	for i, w := range weights {
		if w == 0 {
			continue
		}
		best = i
		if remaining -= w; remaining < 0 {
			break
		}
	}
	return best, verdicts
}
