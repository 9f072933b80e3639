package region

import "time"

// Verdict is why a request leaves for a region, or doesn't.
type Verdict uint8

// The verdicts, in the order in which they are looked at.
const (
	Fits     Verdict = iota // by forecast it is in time there
	Hopes                   // nothing is known to be free there, but its own region has no endpoint at all
	Bound                   // its homes keep the request from it
	Closed                  // no endpoint there is open to the request, or it is cut off
	Unknown                 // nothing was told of it lately
	Late                    // by forecast it would be too late there
	NoPlaces                // it offers none
	Used                    // this host uses its part of what is offered
	Verdicts                // how many there are
)

// String returns the verdict in words, as operators see it.
func (v Verdict) String() string {
	switch v {
	case Fits:
		return "in time by forecast"
	case Hopes:
		return "nothing is known to be free there, and the own region has no endpoint"
	case Bound:
		return "the request's homes keep it from there"
	case Closed:
		return "no endpoint there is open to it"
	case Unknown:
		return "nothing was told of it lately"
	case Late:
		return "too late by forecast"
	case NoPlaces:
		return "it offers no places"
	case Used:
		return "this host's part of its offer is in use"
	}
	return "unknown"
}

// Leaves reports whether a request may leave for a region of the verdict.
func (v Verdict) Leaves() bool { return v == Fits || v == Hopes }

// Need is what a request that its own region can't serve in time needs elsewhere.
type Need struct {
	Left     time.Duration // until its answer, or the first piece of it, has to begin
	Work     time.Duration // to read its prompt and to move it, without waiting
	Homeless bool          // its own region has no endpoint that is open to it
}

// There is another region as a host sees it for one request.
type There struct {
	Summary
	Known   bool          // a summary was ever told
	Age     time.Duration // of the summary
	Detour  time.Duration // what the way there and back costs a request in all
	Sent    int           // requests that this host has sent there since the summary was true
	Askers  int           // hosts of the regions that lack places, which share what it offers
	Allowed bool          // by the request's homes
	Open    int           // endpoints that are open to the request
}

// partFactor is by how much a host may exceed its even part of an offer: requests come to
// hosts in heaps, and the owner there has the last word. TestWays compares factors.
const partFactor = 8

// Part returns how many requests a host may send to a region on one summary, in which the
// earlier ones show: its part of what
// is offered, as far as that is trusted. Of a part below one a draw in [0, 1) decides.
func (t *There) Part(draw float64) int {
	part := partFactor * float64(t.Places) * Trust(t.Age) / float64(max(1, t.Askers))
	whole := int(part)
	if draw < part-float64(whole) {
		whole++
	}
	return whole
}

// Judge returns whether a request may leave for a region, and why not.
func Judge(n Need, t *There, draw float64) Verdict {
	known := t.Known && Trust(t.Age) > 0
	wait := time.Duration(t.WaitMillis) * time.Millisecond
	switch {
	case !t.Allowed:
		return Bound
	case t.Open == 0:
		return Closed
	case t.Detour+n.Work > n.Left:
		return Late
	case n.Homeless && (!known || t.Places == 0 || t.Sent >= t.Part(draw)):
		return Hopes // elsewhere or nowhere: the owner there has the last word
	case !known:
		return Unknown
	case wait+t.Detour+n.Work > n.Left:
		return Late
	case t.Places == 0:
		return NoPlaces
	case t.Sent >= t.Part(draw):
		return Used
	}
	return Fits
}

// hope is the weight of a region that nothing is known of, in places.
const hope = 1.0

// Choose returns the region that a request leaves for, -1 if it stays, and the verdict of
// each. One is drawn by its offer, as far as it is trusted, so that hosts that see the same
// don't all go to the region that offers most. Draws are in [0, 1).
func Choose(n Need, list []There, drawPart, drawRegion float64) (int, []Verdict) {
	verdicts := make([]Verdict, len(list))
	weights := make([]float64, len(list))
	sum := 0.0
	for i := range list {
		t := &list[i]
		switch verdicts[i] = Judge(n, t, drawPart); verdicts[i] {
		case Fits:
			weights[i] = float64(t.Places) * Trust(t.Age)
		case Hopes:
			weights[i] = hope
		}
		sum += weights[i]
	}
	at, best := drawRegion*sum, -1
	for i, w := range weights {
		if w == 0 {
			continue
		}
		best = i
		if at -= w; at < 0 {
			break
		}
	}
	return best, verdicts
}
