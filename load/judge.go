package load

import (
	"fmt"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/internal/fake"
	"github.com/embercove/embercove/result"
)

// Judge compares what callers saw with the stand-ins' truth and returns every
// broken promise in words. broken says whether a connection may have broken
// without a numbered answer, because the arrival's host was killed.
func Judge(rs []Result, truth []fake.Record, broken func(Arrival) bool) []string {
	var out []string
	fail := func(r Result, format string, args ...any) {
		out = append(out, fmt.Sprintf("%s at %s (%s): ", r.Kind, r.At, r.Code)+fmt.Sprintf(format, args...))
	}
	prefills, decodes := runs(truth)
	for _, r := range rs {
		hash := fake.PromptHash(r.Prompt)
		switch {
		case r.Garbled:
			fail(r, "a wrong, missing or doubled token among %d", r.Tokens)
		case r.Code == result.OK && !r.Correct:
			fail(r, "a clean end after %d tokens that are not the whole right answer", r.Tokens)
		case r.Code == 0 && !r.Left && !broken(r.Arrival):
			fail(r, "no numbered answer after %s and %d tokens", r.Took, r.Tokens)
		case r.NotRun && !r.Code.NotRun():
			fail(r, "not_run on a code that doesn't promise it")
		}
		if r.NotRun && ranBy(r, truth, hash) {
			fail(r, "refused as not run, but ran %d prefills and %d decodes", prefills[hash], decodes[hash])
		}
		if r.Once && (prefills[hash] > 1 || decodes[hash] > 1) {
			fail(r, "not repeatable, but ran %d prefills and %d decodes", prefills[hash], decodes[hash])
		}
	}
	return out
}

// ranBy reports whether a refused request ran. Under an idempotency key it may
// have been sent again since, so only runs up to the refusal count.
func ranBy(r Result, truth []fake.Record, hash uint64) bool {
	for _, rec := range truth {
		if rec.Prompt == hash && rec.Ran && (r.Key == "" || rec.StartedMS <= r.Ended.UnixMilli()) {
			return true
		}
	}
	return false
}

// runs counts how often each prompt's work began, by role.
func runs(truth []fake.Record) (prefills, decodes map[uint64]int) {
	prefills, decodes = map[uint64]int{}, map[uint64]int{}
	for _, rec := range truth {
		if !rec.Ran {
			continue
		}
		if rec.Role == string(config.Prefill) {
			prefills[rec.Prompt]++
		} else {
			decodes[rec.Prompt]++
		}
	}
	return prefills, decodes
}
