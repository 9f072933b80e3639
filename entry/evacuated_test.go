package entry

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/embercove/embercove/result"
)

// TestEmptiedMeanwhile evacuates the failure domain of an endpoint while a request waits
// there for its prefill slot, its prefill or decode memory. The request must be served in
// the other domain. A prompt that was prefilled in the evacuated domain is fetched from
// there and not prefilled again. If both domains are evacuated the request is refused at
// once, as not run.
func TestEmptiedMeanwhile(t *testing.T) {
	cases := []struct {
		name     string
		steps    []string
		full     int
		ahead    bool // owners know of it, this host doesn't
		prefills int
		code     result.Code
	}{
		{"nothing is evacuated", nil, 0, false, 1, result.OK},
		{"as it gets its slot", []string{atEnqueue}, 0, false, 1, result.OK},
		{"during the prefill", []string{atPrefill}, 0, false, 1, result.OK},
		{"while the decode engine is full", []string{atFull}, 1, false, 1, result.OK},
		{"as it gets its slot, refused by the owner", []string{atEnqueue}, 0, true, 1, result.OK},
		{"both, as it gets its slot and during the prefill", []string{atEnqueue, atPrefill}, 0, false, 1, result.Evacuated},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &leavingScene{fullCalls: tc.full, evacuate: true, ownersAhead: tc.ahead}
				began := time.Now()
				refusal, body := s.run(t, tc.steps)
				prefills := 0
				for _, call := range s.callOrder {
					if slices.Contains([]string{"prefill at p1", "prefill at p2"}, call) {
						prefills++
					}
				}
				if prefills != tc.prefills || time.Since(began) > time.Second {
					t.Errorf("%d prompts prefilled, want %d, in %v, after %v", prefills, tc.prefills, time.Since(began), s.callOrder)
				}
				switch {
				case tc.code == result.OK && (refusal != nil || body != "data: x\n\n"):
					t.Errorf("%v, body %q, after %v", refusal, body, s.callOrder)
				case tc.code != result.OK && (refusal == nil || refusal.Code != tc.code || refusal.RetryAfter == 0):
					t.Errorf("%v (%+v), want code %v and a retry time, after %v", refusal, refusal, tc.code, s.callOrder)
				}
			})
		})
	}
}

// TestEmptiedTurns has owners refuse slots and memory because of an evacuation, mixed with
// other refusals, and checks whether a request is placed, or with what code it is refused.
func TestEmptiedTurns(t *testing.T) {
	evacuated, late := result.Evacuated, result.TooLate
	cases := []struct {
		name                       string
		enqueueCodes, reserveCodes []result.Code
		prefills, decodes          int
		memoryIn                   int
		code                       result.Code
	}{
		{"one engine is evacuated", []result.Code{evacuated}, nil, 2, 1, 0, result.OK},
		{"one has no slot, then one is evacuated", []result.Code{late, evacuated}, nil, 2, 1, 0, late},
		{"one is evacuated, then one has no slot", []result.Code{evacuated, late}, nil, 2, 1, 0, late},
		{"a decode engine is evacuated", nil, []result.Code{evacuated}, 1, 2, 0, result.OK},
		{"it is evacuated as a later slot is requested", []result.Code{result.OK, evacuated}, nil, 2, 1, 900, result.OK},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				stub := &stubOwners{enqueueCodes: tc.enqueueCodes, reserveCodes: tc.reserveCodes, memoryIn: tc.memoryIn}
				e, j := newPlacement(t, stub, tc.prefills, tc.decodes)
				_, err := e.place(t.Context(), j)
				if (err == nil) != (tc.code == result.OK) || err != nil && asResult(err).Code != tc.code {
					t.Errorf("%v, want code %v; calls %v", err, tc.code, stub.calls)
				}
			})
		})
	}
}

// TestNowhere evacuates engines and checks the code of a request that the other engines
// refused, or that finds none.
func TestNowhere(t *testing.T) {
	cases := []struct {
		name         string
		evacuated    []string // failure domains: a has p1, d1 and d3, b has p2 and d2
		enqueueCodes []result.Code
		code         result.Code
	}{
		{"all", []string{"a", "b"}, nil, result.Evacuated},
		{"one of two, and the other's owner knows nothing of it", []string{"a"}, []result.Code{result.NoEndpoint}, result.NoEndpoint},
		{"one of two, and the other has no slot", []string{"a"}, []result.Code{result.TooLate}, result.TooLate},
		{"none, and neither is known to its owner", nil, []result.Code{result.NoEndpoint, result.NoEndpoint}, result.NoEndpoint},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &leavingScene{evacuate: true, extra: []string{"d3"}, stubOwners: stubOwners{enqueueCodes: tc.enqueueCodes}}
				s.evacuated = tc.evacuated
				if refusal, _ := s.run(t, nil); refusal == nil || refusal.Code != tc.code {
					t.Errorf("%v, want code %v; calls %v", refusal, tc.code, s.calls)
				}
			})
		})
	}
}
