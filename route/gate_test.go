package route

import (
	"testing"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/pace"
)

// TestLabels checks that each reason has a unique label and a text.
func TestLabels(t *testing.T) {
	seen := map[string]bool{"": true}
	for _, b := range Reasons() {
		if l := b.Label(); seen[l] || b.String() == "unknown" {
			t.Errorf("reason %d: label %q, %q", b, l, b)
		}
		seen[b.Label()] = true
	}
}

// TestBarred changes one property of an endpoint or a request and checks the reason that excludes
// the endpoint.
func TestBarred(t *testing.T) {
	const own, other, third config.Regions = 1, 2, 4
	for _, tc := range []struct {
		name   string
		change func(s *State, r *Request)
		want   Reason
	}{
		{"nothing", func(*State, *Request) {}, ReasonNone},
		{"leaving by the configuration", func(s *State, _ *Request) { s.Leaving = true }, ReasonLeaving},
		{"leaving by its report", func(s *State, _ *Request) { s.Digest.Flags = FlagLeaving }, ReasonLeaving},
		{"leaving by its answers", func(s *State, _ *Request) { s.Notices = &Notices{Leaving: true} }, ReasonLeaving},
		{"it asked for backoff", func(s *State, r *Request) { s.Notices = &Notices{BackoffUntil: r.Now.Add(time.Millisecond)} }, ReasonBackoff},
		{"its backoff is over", func(s *State, r *Request) { s.Notices = &Notices{BackoffUntil: r.Now} }, ReasonNone},
		{"the first request after its backoff is unanswered", func(s *State, r *Request) {
			s.Notices = &Notices{BackoffUntil: r.Now, probeUntil: r.Now.Add(time.Second)}
		}, ReasonBackoff},
		{"down", func(s *State, _ *Request) { s.Digest.Flags = FlagDown }, ReasonDown},
		{"wrong state", func(s *State, _ *Request) { s.Digest.Flags = FlagWrongState }, ReasonWrongState},
		{"the rest of an answer of its software", func(s *State, r *Request) { s.Spec.Software, r.Continues, r.Software = "v1", true, "v1" }, ReasonNone},
		{"the rest of an answer of other software", func(s *State, r *Request) { s.Spec.Software, r.Continues, r.Software = "v2", true, "v1" }, ReasonSoftware},
		{"the rest of an answer whose software isn't known", func(s *State, r *Request) {
			s.Spec.Software, r.Continues, r.Software = "v2", true, s.Spec.WithUnknownSoftware().Software
		}, ReasonSoftware},
		{"a prompt of an answer of other software", func(s *State, r *Request) {
			s.Role, s.Spec.Software, r.Continues, r.Software = config.Prefill, "v2", true, "v1"
		}, ReasonNone},
		{"a new answer", func(s *State, r *Request) { s.Spec.Software, r.Software = "v2", "v1" }, ReasonNone},
		{"emptied", func(s *State, _ *Request) { s.Evacuated = true }, ReasonEvacuated},
		{"evacuated by owners' reports", func(s *State, r *Request) { s.Domain, r.EvacuatedDomains = 3, 1<<3 }, ReasonEvacuated},
		{"another domain is evacuated by owners' reports", func(s *State, r *Request) { s.Domain, r.EvacuatedDomains = 3, 1<<2 }, ReasonNone},
		{"evacuated and down", func(s *State, _ *Request) { s.Evacuated, s.Digest.Flags = true, FlagDown }, ReasonEvacuated},
		{"cut off", func(s *State, r *Request) { s.CutOffUntil = r.Now.Add(time.Second) }, ReasonCutOff},
		{"cut off until now", func(s *State, r *Request) { s.CutOffUntil = r.Now }, ReasonNone},
		{"cold", func(s *State, r *Request) { s.ColdUntil = r.Now.Add(time.Second) }, ReasonNone},
		{"cold without a permit", func(s *State, r *Request) {
			s.ColdUntil, s.NoPermitUntil = r.Now.Add(time.Second), r.Now.Add(time.Millisecond)
		}, ReasonCold},
		{"cold by its owner's report without a permit", func(s *State, r *Request) {
			s.Digest.Flags, s.DigestAt, s.NoPermitUntil = FlagCold, r.Now, r.Now.Add(time.Millisecond)
		}, ReasonCold},
		{"no longer cold", func(s *State, r *Request) { s.ColdUntil, s.NoPermitUntil = r.Now, r.Now.Add(time.Second) }, ReasonNone},
		{"this host's share of connections is used up", func(s *State, r *Request) { s.Role, s.Connections, s.InFlight, r.Hosts = config.Service, 20, 9, 2 }, ReasonConnections},
		{"one of them is left", func(s *State, r *Request) { s.Role, s.Connections, s.InFlight, r.Hosts = config.Service, 20, 8, 2 }, ReasonNone},
		{"more hosts than connections", func(s *State, r *Request) { s.Role, s.Connections, r.Hosts = config.Service, 20, 300 }, ReasonNone},
		{"an engine's connections", func(s *State, r *Request) { s.Role, s.Connections, s.InFlight, r.Hosts = config.Decode, 20, 50, 2 }, ReasonNone},
		{"at its limit without a permit", func(s *State, r *Request) {
			s.Limit.Observe(r.Now, pace.Report{Named: true, At: r.Now})
			s.NoPermitUntil = r.Now.Add(time.Millisecond)
		}, ReasonLimited},
		{"at its limit", func(s *State, r *Request) { s.Limit.Observe(r.Now, pace.Report{Named: true, At: r.Now}) }, ReasonNone},
		{"excluded", func(s *State, r *Request) { r.AddExcluded(s.Number) }, ReasonExcluded},
		{"another region", func(s *State, _ *Request) { s.Region = other }, ReasonRemoteRegion},
		{"another region that it may be redirected to", func(s *State, r *Request) { s.Region, r.RemoteRegions = other, other }, ReasonNone},
		{"an allowed region", func(_ *State, r *Request) { r.AllowedRegions = own | other }, ReasonNone},
		{"no allowed region", func(_ *State, r *Request) { r.AllowedRegions = other }, ReasonRegionNotAllowed},
		{"a reachable region that is not allowed", func(s *State, r *Request) { s.Region, r.RemoteRegions, r.AllowedRegions = other, other, own|third }, ReasonRegionNotAllowed},
		{"an allowed region that it has no reason to be redirected to", func(s *State, r *Request) { s.Region, r.AllowedRegions = other, own|other }, ReasonRemoteRegion},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := &State{Number: 7, Region: own, Spec: &config.Endpoint{ColdPerSecond: 21}}
			r := &Request{Region: own, Now: now}
			tc.change(s, r)
			if got := IneligibleReason(s, r); got != tc.want || Eligible(s, r) != (tc.want == ReasonNone) {
				t.Errorf("reason %q, want %q", got, tc.want)
			}
		})
	}
}

// TestBlame checks that a refusal names the reason that excludes most endpoints.
func TestBlame(t *testing.T) {
	r := &Request{Region: 1, Now: now}
	states := []*State{{Region: 1, Evacuated: true}, {Region: 1, Evacuated: true}, {Region: 1, Leaving: true}, {Region: 2}, {Region: 2}, {Region: 2}}
	for _, tc := range []struct {
		list []int
		want Reason
	}{
		{nil, ReasonNone},
		{[]int{0, 1, 2}, ReasonEvacuated},
		{[]int{2}, ReasonLeaving},
		{[]int{3, 4}, ReasonRemoteRegion},
		{[]int{0, 3, 4, 5}, ReasonEvacuated},
	} {
		var list []*State
		for _, i := range tc.list {
			list = append(list, states[i])
		}
		if got := MainReason(list, r); got != tc.want {
			t.Errorf("%v: %q, want %q", tc.list, got, tc.want)
		}
	}
}
