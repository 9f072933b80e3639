package load

import (
	"fmt"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/internal/fake"
	"github.com/embercove/embercove/result"
)

// Verify compares what callers saw with the stand-ins' records and describes each
// violated guarantee. broken reports whether an arrival's connection may have
// broken without a result code, because its host was killed.
func Verify(results []Result, records []fake.Record, broken func(Arrival) bool) []string {
	var out []string
	addViolation := func(r Result, format string, args ...any) {
		out = append(out, fmt.Sprintf("%s at %s (%s): ", r.Kind, r.At, r.Code)+fmt.Sprintf(format, args...))
	}
	prefills, decodes := countRuns(records)
	for _, r := range results {
		hash := fake.PromptHash(r.Prompt)
		switch {
		case r.Garbled:
			addViolation(r, "a wrong, missing or duplicated token among %d", r.Tokens)
		case r.Code == result.OK && !r.Correct:
			addViolation(r, "ended cleanly after %d tokens that are not the complete correct answer", r.Tokens)
		case r.Code == 0 && !r.Left && !broken(r.Arrival):
			addViolation(r, "no numbered answer after %s and %d tokens", r.Duration, r.Tokens)
		case r.NotRun && !r.Code.NotRun():
			addViolation(r, "not_run with a code that doesn't guarantee it")
		}
		if r.NotRun && ranBeforeRefusal(r, records, hash) {
			addViolation(r, "refused as not run, but it ran %d prefills and %d decodes", prefills[hash], decodes[hash])
		}
		if r.NotRepeatable && (prefills[hash] > 1 || decodes[hash] > 1) {
			addViolation(r, "not repeatable, but it ran %d prefills and %d decodes", prefills[hash], decodes[hash])
		}
	}
	return out
}

// ranBeforeRefusal reports whether a refused request ran. A request with an idempotency
// key may have been sent again since, so only its runs up to the refusal count.
func ranBeforeRefusal(r Result, records []fake.Record, hash uint64) bool {
	for _, rec := range records {
		if rec.Prompt == hash && rec.Ran && (r.Key == "" || rec.StartedMS <= r.Ended.UnixMilli()) {
			return true
		}
	}
	return false
}

// countRuns counts how often prefill and decode of each prompt started, by prompt hash.
func countRuns(records []fake.Record) (prefills, decodes map[uint64]int) {
	prefills, decodes = map[uint64]int{}, map[uint64]int{}
	for _, rec := range records {
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
