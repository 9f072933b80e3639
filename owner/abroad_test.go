package owner

import (
	"testing"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/examples"
	"github.com/embercove/embercove/result"
)

// TestOwnTurnsFirst queues prompts until the engine refuses cross-region prompts, and checks
// that it still accepts prompts of its own region.
func TestOwnTurnsFirst(t *testing.T) {
	sched := prefillScheduler(t)
	enqueue := func(n int, crossRegion bool) *result.Error {
		_, refusal := sched.admit(at(0), EnqueueArgs{Attempt: attempt(n), Tokens: 4000, Slack: 900, Abroad: crossRegion})
		return refusal
	}
	if refusal := enqueue(1, true); refusal != nil {
		t.Fatalf("an idle engine refuses a cross-region prompt: %v", refusal)
	}
	for n := 2; n < 7; n++ {
		if refusal := enqueue(n, false); refusal != nil {
			t.Fatal(refusal)
		}
	}
	refusal := enqueue(7, true)
	if refusal == nil || refusal.Code != result.TooLate || refusal.RetryAfter <= 0 {
		t.Errorf("with 600 ms queued a cross-region prompt gets %v", refusal)
	}
	if refusal := enqueue(8, false); refusal != nil {
		t.Errorf("a prompt of the engine's own region gets %v", refusal)
	}
}

// TestOwnRoomFirst fills an engine until it has memory for one more request, and checks that
// a cross-region request is refused it and a request of the engine's own region is not.
func TestOwnRoomFirst(t *testing.T) {
	v, err := config.NewView(1, examples.Domaskra)
	if err != nil {
		t.Fatal(err)
	}
	sched := newScheduler(v, v.Endpoint("docket-decode-1"), 1, at(0)) // memory for 48,000 tokens
	tryReserve := func(n, tokens int, crossRegion bool) *result.Error {
		_, refusal := sched.reserve(at(0), ReserveArgs{Attempt: attempt(n), Tokens: tokens, MaxAnswer: 100, Slack: 0, Abroad: crossRegion})
		return refusal
	}
	if refusal := tryReserve(1, 20000, true); refusal != nil {
		t.Fatalf("an idle engine refuses a cross-region request: %v", refusal)
	}
	if refusal := tryReserve(2, 18000, false); refusal != nil {
		t.Fatal(refusal)
	}
	refusal := tryReserve(3, 6000, true)
	if refusal == nil || refusal.Code != result.NoDecodeMemory || refusal.RetryAfter <= 0 {
		t.Errorf("memory kept for its own region is given to another: %v", refusal)
	}
	if refusal := tryReserve(4, 6000, false); refusal != nil {
		t.Errorf("a request of the engine's own region gets %v", refusal)
	}
}
