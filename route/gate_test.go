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
	for _, b := range Bars() {
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
		want   Bar
	}{
		{"nothing", func(*State, *Request) {}, BarNone},
		{"leaving by the configuration", func(s *State, _ *Request) { s.Leaving = true }, BarLeaving},
		{"leaving by its report", func(s *State, _ *Request) { s.Digest.Flags = FlagLeaving }, BarLeaving},
		{"leaving by its answers", func(s *State, _ *Request) { s.Notices = &Notices{Leaving: true} }, BarLeaving},
		{"it asked for backoff", func(s *State, r *Request) { s.Notices = &Notices{Rest: r.Now.Add(time.Millisecond)} }, BarResting},
		{"its backoff is over", func(s *State, r *Request) { s.Notices = &Notices{Rest: r.Now} }, BarNone},
		{"the first request after its backoff is unanswered", func(s *State, r *Request) { s.Notices = &Notices{Rest: r.Now, probeUntil: r.Now.Add(time.Second)} }, BarResting},
		{"down", func(s *State, _ *Request) { s.Digest.Flags = FlagDown }, BarDown},
		{"wrong state", func(s *State, _ *Request) { s.Digest.Flags = FlagWrong }, BarWrong},
		{"emptied", func(s *State, _ *Request) { s.Evacuated = true }, BarEvacuated},
		{"evacuated by owners' reports", func(s *State, r *Request) { s.Domain, r.Shut = 3, 1<<3 }, BarEvacuated},
		{"another domain is evacuated by owners' reports", func(s *State, r *Request) { s.Domain, r.Shut = 3, 1<<2 }, BarNone},
		{"evacuated and down", func(s *State, _ *Request) { s.Evacuated, s.Digest.Flags = true, FlagDown }, BarEvacuated},
		{"cut off", func(s *State, r *Request) { s.CutOff = r.Now.Add(time.Second) }, BarCutOff},
		{"cut off until now", func(s *State, r *Request) { s.CutOff = r.Now }, BarNone},
		{"cold", func(s *State, r *Request) { s.ColdUntil = r.Now.Add(time.Second) }, BarNone},
		{"cold without a permit", func(s *State, r *Request) {
			s.ColdUntil, s.NoStart = r.Now.Add(time.Second), r.Now.Add(time.Millisecond)
		}, BarCold},
		{"cold by its owner's report without a permit", func(s *State, r *Request) {
			s.Digest.Flags, s.At, s.NoStart = FlagCold, r.Now, r.Now.Add(time.Millisecond)
		}, BarCold},
		{"no longer cold", func(s *State, r *Request) { s.ColdUntil, s.NoStart = r.Now, r.Now.Add(time.Second) }, BarNone},
		{"this host's share of connections is used up", func(s *State, r *Request) { s.Role, s.Connections, s.Sent, r.Hosts = config.Service, 20, 9, 2 }, BarConnections},
		{"one of them is left", func(s *State, r *Request) { s.Role, s.Connections, s.Sent, r.Hosts = config.Service, 20, 8, 2 }, BarNone},
		{"more hosts than connections", func(s *State, r *Request) { s.Role, s.Connections, r.Hosts = config.Service, 20, 300 }, BarNone},
		{"an engine's connections", func(s *State, r *Request) { s.Role, s.Connections, s.Sent, r.Hosts = config.Decode, 20, 50, 2 }, BarNone},
		{"at its limit without a permit", func(s *State, r *Request) {
			s.Limit.Hear(r.Now, pace.Word{Named: true, At: r.Now})
			s.NoStart = r.Now.Add(time.Millisecond)
		}, BarLimited},
		{"at its limit", func(s *State, r *Request) { s.Limit.Hear(r.Now, pace.Word{Named: true, At: r.Now}) }, BarNone},
		{"excluded", func(s *State, r *Request) { r.Drop(s.Number) }, BarExcluded},
		{"another region", func(s *State, _ *Request) { s.Region = other }, BarRegion},
		{"another region that it may be redirected to", func(s *State, r *Request) { s.Region, r.Reach = other, other }, BarNone},
		{"an allowed region", func(_ *State, r *Request) { r.Homes = own | other }, BarNone},
		{"no allowed region", func(_ *State, r *Request) { r.Homes = other }, BarHome},
		{"a reachable region that is not allowed", func(s *State, r *Request) { s.Region, r.Reach, r.Homes = other, other, own|third }, BarHome},
		{"an allowed region that it has no reason to be redirected to", func(s *State, r *Request) { s.Region, r.Homes = other, own|other }, BarRegion},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := &State{Number: 7, Region: own, Spec: &config.Endpoint{ColdPerSecond: 21}}
			r := &Request{Region: own, Now: now}
			tc.change(s, r)
			if got := Barred(s, r); got != tc.want || Open(s, r) != (tc.want == BarNone) {
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
		want Bar
	}{
		{nil, BarNone},
		{[]int{0, 1, 2}, BarEvacuated},
		{[]int{2}, BarLeaving},
		{[]int{3, 4}, BarRegion},
		{[]int{0, 3, 4, 5}, BarEvacuated},
	} {
		var list []*State
		for _, i := range tc.list {
			list = append(list, states[i])
		}
		if got := Blame(list, r); got != tc.want {
			t.Errorf("%v: %q, want %q", tc.list, got, tc.want)
		}
	}
}
