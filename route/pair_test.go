package route

import "testing"

// TestPairs checks that prefill and decode of a request stay in one region even if a pair across
// regions is cheaper, and that decode follows a prefill that is already done.
func TestPairs(t *testing.T) {
	v := testView(t, 3, 3) // p2 and d2 lie in the other region
	here, far := v.RegionSet("r"), v.RegionSet("far")
	f, states := fresh(v)
	for i := range v.Doc.Domains {
		v.Doc.Domains[i].LinkBytesPerSecond = 1e9 // links lead everywhere
	}
	busy := func(list ...int) {
		for _, i := range list {
			states[i].Digest.QueueMillis, states[i].Digest.WaitMillis = 5000, 5000
		}
	}
	busy(0, 1, 5) // the prefill engines here, the decode engine there
	r := &Request{Group: f.routes["all"], Model: "m", Tokens: 1000, MaxAnswer: 100, EntryDomain: 0, Region: here, RemoteRegions: far, Now: now}
	c := f.Pick(r)
	if c.Prefill == nil || v.Region[c.Prefill.Domain] != v.Region[c.Decode.Domain] {
		t.Fatalf("chose %+v: a pair of two regions", c)
	}
	r.PrefillRegion = far
	if c := f.PickDecode(r); c.Decode != states[5].Spec {
		t.Errorf("prefill ran in the other region, decode is at %+v", c.Decode)
	}
	if c := f.Pick(r); c.Prefill != states[2].Spec || c.Decode != states[5].Spec {
		t.Errorf("chose %+v for a request whose prefill ran in the other region", c)
	}
}
