package region

import (
	"slices"
	"testing"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/route"
)

const ms = time.Millisecond // a unit in tables

// TestJudge checks whether a request is redirected to a region, by what the host knows of it. The
// request has 600 ms left, and its prompt takes 100 ms.
func TestJudge(t *testing.T) {
	need := Need{TimeLeft: 600 * ms, Work: 100 * ms}
	cases := []struct {
		name   string
		change func(n *Need, r *RemoteRegion)
		want   Verdict
	}{
		{"capacity is free", func(*Need, *RemoteRegion) {}, InTime},
		{"not an allowed region", func(_ *Need, r *RemoteRegion) { r.Allowed = false }, NotAllowed},
		{"no eligible endpoint", func(_ *Need, r *RemoteRegion) { r.EligibleEndpoints = 0 }, NoEndpoint},
		{"a long queue there", func(_ *Need, r *RemoteRegion) { r.WaitMillis = 450 }, TooLate},
		{"a long detour", func(_ *Need, r *RemoteRegion) { r.Detour = 520 * ms }, TooLate},
		{"little time left", func(n *Need, _ *RemoteRegion) { n.TimeLeft = 150 * ms }, TooLate},
		{"nothing offered", func(_ *Need, r *RemoteRegion) { r.Capacity = 0 }, NoCapacity},
		{"nothing known", func(_ *Need, r *RemoteRegion) { r.Known = false }, Unknown},
		{"the share of this host is used, and no local endpoint", func(n *Need, r *RemoteRegion) { r.Sent, n.NoLocalEndpoint = 8, true }, LastResort},
		{"too late there, and no local endpoint", func(n *Need, r *RemoteRegion) { r.WaitMillis, n.NoLocalEndpoint = 450, true }, TooLate},
		{"nothing known, and no local endpoint", func(n *Need, r *RemoteRegion) { r.Known, n.NoLocalEndpoint = false, true }, LastResort},
		{"an expired summary", func(_ *Need, r *RemoteRegion) { r.Age = maxTrustAge }, Unknown},
		{"the share of this host is used", func(_ *Need, r *RemoteRegion) { r.Sent = 8 }, ShareUsed},
		{"a smaller share of an old offer", func(_ *Need, r *RemoteRegion) { r.Sent, r.Age = 2, 2*trustHalfLife }, ShareUsed},
		{"nothing offered, and no local endpoint", func(n *Need, r *RemoteRegion) { r.Capacity, n.NoLocalEndpoint = 0, true }, LastResort},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			n := need
			r := RemoteRegion{Summary: Summary{Capacity: 10, WaitMillis: 50}, Known: true, Age: 0, Detour: 100 * ms, Requesters: 10, Allowed: true, EligibleEndpoints: 3}
			tc.change(&n, &r)
			if got := Evaluate(n, &r, 0.5); got != tc.want {
				t.Errorf("%q, want %q", got, tc.want)
			}
		})
	}
}

// TestChoose checks that hosts with the same view spread requests over regions in proportion to the
// offers, and that none goes to a region without capacity.
func TestChoose(t *testing.T) {
	list := []RemoteRegion{
		{Summary: Summary{Capacity: 30}, Known: true, Requesters: 1, Allowed: true, EligibleEndpoints: 1},
		{Summary: Summary{Capacity: 0}, Known: true, Requesters: 1, Allowed: true, EligibleEndpoints: 1},
		{Summary: Summary{Capacity: 10}, Known: true, Requesters: 1, Allowed: true, EligibleEndpoints: 1},
	}
	var chosen [3]int
	const draws = 100
	for k := range draws {
		to, verdicts := Choose(Need{TimeLeft: time.Second}, list, 0, float64(k)/draws)
		if to < 0 || verdicts[1] != NoCapacity {
			t.Fatal(to, verdicts)
		}
		chosen[to]++
	}
	if chosen != [3]int{75, 0, 25} {
		t.Errorf("chose %v of %d, want them in proportion to the offers", chosen, draws)
	}
	if to, _ := Choose(Need{TimeLeft: time.Second}, list[1:2], 0, 0); to != -1 {
		t.Errorf("chose %d, which offers nothing", to)
	}
}

// TestSummarize checks what a region offers, by the states of its engines.
func TestSummarize(t *testing.T) {
	now := time.Now()
	const own, other = config.Regions(1), config.Regions(2)
	// Two prefill engines and four decode engines with free capacity.
	region := func() []*route.State {
		var out []*route.State
		for i := range 6 {
			s := &route.State{Region: own, Role: config.Decode, Spec: &config.Endpoint{Pool: "p", MemoryTokens: 1000, Slots: 10}, DigestAt: now.Add(-time.Second)}
			s.Digest.FreeTokens, s.Digest.FreeSlots = 400, 5 // counts as two requests
			if i < 2 {
				s.Role, s.Digest.QueueMillis = config.Prefill, 100
			}
			out = append(out, s)
		}
		return out
	}
	cases := []struct {
		name   string
		change func(s []*route.State)
		want   uint32
		known  bool
	}{
		{"capacity everywhere", func([]*route.State) {}, 2 * requestsPerPrefill, true},
		{"one decode engine is full", func(s []*route.State) { s[2].Digest.FreeTokens = 0 }, 6, true},
		{"the rest is reserved for its own region", func(s []*route.State) { s[2].Digest.FreeTokens = 90 }, 6, true},
		{"little is left", func(s []*route.State) { s[2].Digest.FreeTokens = 110 }, 7, true},
		{"most decode engines are full", func(s []*route.State) {
			for i := 2; i < 5; i++ {
				s[i].Digest.WaitMillis = 200
			}
		}, 0, true},
		{"prompts wait", func(s []*route.State) { s[0].Digest.QueueMillis, s[1].Digest.QueueMillis = 450, 450 }, 0, true},
		{"a prefill engine leaves", func(s []*route.State) { s[0].Leaving = true }, requestsPerPrefill, true},
		{"a prefill engine is cold by its registration", func(s []*route.State) {
			spec := *s[0].Spec
			spec.ColdPerSecond = 21
			s[0].Spec, s[0].ColdUntil = &spec, now.Add(time.Second)
		}, requestsPerPrefill, true},
		{"emptied", func(s []*route.State) {
			for i := range s {
				s[i].Evacuated = true
			}
		}, 0, true},
		{"nothing is known", func(s []*route.State) {
			for i := range s {
				s[i].DigestAt = time.Time{}
			}
		}, 0, false},
		{"all digests are old", func(s []*route.State) {
			for i := range s {
				s[i].DigestAt = now.Add(-time.Minute)
			}
		}, 0, false},
		{"another region's", func(s []*route.State) {
			for i := range s {
				s[i].Region = other
			}
		}, 0, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			states := region()
			tc.change(states)
			got := Summarize(slices.Values(states), own, 7, now)
			if known := len(got) > 0; known != tc.known {
				t.Fatalf("summaries %v, want some: %v", got, tc.known)
			}
			if tc.known && (got[0].Capacity != tc.want || got[0].Region != 7 || got[0].Pool != PoolNumber("p", "")) {
				t.Errorf("summary %+v, want a capacity of %d", got, tc.want)
			}
		})
	}
}

// TestOwnFirst checks that an endpoint accepts requests of other regions only while it has capacity
// beyond what is reserved for its own.
func TestOwnFirst(t *testing.T) {
	if !AcceptsPrefill(100*ms) || AcceptsPrefill(maxPrefillQueue+ms) {
		t.Error("turns") // prefill slots: accepted above maxPrefillQueue, or refused far below it
	}
	free := DecodeCapacity{Free: 400, Memory: 1000, Slots: 5, TotalSlots: 10, Need: 300}
	if !AcceptsDecode(free) {
		t.Errorf("%+v is refused", free)
	}
	for _, less := range []DecodeCapacity{
		{Free: 390, Memory: 1000, Slots: 5, TotalSlots: 10, Need: 300},
		{Free: 400, Memory: 1000, Slots: 1, TotalSlots: 10, Need: 300},
		{Free: 400, Memory: 1000, Slots: 5, TotalSlots: 10, Need: 300, Wait: 50 * ms},
	} {
		if AcceptsDecode(less) {
			t.Errorf("%+v is accepted", less)
		}
	}
}
