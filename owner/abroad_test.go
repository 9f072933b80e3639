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
	ask := func(n int, abroad bool) *result.Error {
		_, refusal := sched.admit(at(0), EnqueueArgs{Attempt: attempt(n), Tokens: 4000, Slack: 900, Abroad: abroad})
		return refusal
	}
	if refusal := ask(1, true); refusal != nil {
		t.Fatalf("an idle engine refuses a cross-region prompt: %v", refusal)
	}
	for n := 2; n < 7; n++ {
		if refusal := ask(n, false); refusal != nil {
			t.Fatal(refusal)
		}
	}
	refusal := ask(7, true)
	if refusal == nil || refusal.Code != result.TooLate || refusal.RetryAfter <= 0 {
		t.Errorf("with 600 ms queued a cross-region prompt gets %v", refusal)
	}
	if refusal := ask(8, false); refusal != nil {
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
	ask := func(n, tokens int, abroad bool) *result.Error {
		_, refusal := sched.reserve(at(0), ReserveArgs{Attempt: attempt(n), Tokens: tokens, MaxAnswer: 100, Slack: 0, Abroad: abroad})
		return refusal
	}
	if refusal := ask(1, 20000, true); refusal != nil {
		t.Fatalf("an idle engine refuses a cross-region request: %v", refusal)
	}
	if refusal := ask(2, 18000, false); refusal != nil {
		t.Fatal(refusal)
	}
	refusal := ask(3, 6000, true)
	if refusal == nil || refusal.Code != result.NoDecodeMemory || refusal.RetryAfter <= 0 {
		t.Errorf("memory kept for its own region is given to another: %v", refusal)
	}
	if refusal := ask(4, 6000, false); refusal != nil {
		t.Errorf("a request of the engine's own region gets %v", refusal)
	}
}
