package entry

import (
	"slices"

	"go.uber.org/zap"

	"github.com/embercove/embercove/quarantine"
	"github.com/embercove/embercove/request"
)

// logCrash logs that an endpoint crashed under some runs, with the requests that are
// suspected since.
func (e *Entry) logCrash(check *crashCheck, runs []quarantine.Run, rows []quarantine.Row) {
	slices.SortStableFunc(rows, func(a, b quarantine.Row) int { return int(b.Mark.Ends) - int(a.Mark.Ends) })
	e.log.Warn("endpoint ended under requests", zap.String("endpoint", check.spec.Name), zap.String("address", check.proc.address),
		zap.Int("requests", len(runs)), zap.Stringers("suspects", fingerprints(rows)), zap.Uint32s("ends", crashCounts(rows)),
		zap.Ints("processes", e.ownCrashes(rows)), zap.Uint32s("began_with", startCounts(runs)), zap.Bools("old", oldRuns(runs)))
}

// startCounts returns the crashes that were known of the first requests as their runs began.
func startCounts(runs []quarantine.Run) (out []uint32) {
	for _, r := range runs[:min(len(runs), maxLoggedFingerprints)] {
		out = append(out, r.KnownCrashes())
	}
	return out
}

// oldRuns returns which of the first runs were no longer young as they broke off.
func oldRuns(runs []quarantine.Run) (out []bool) {
	for _, r := range runs[:min(len(runs), maxLoggedFingerprints)] {
		out = append(out, r.Old)
	}
	return out
}

// maxLoggedFingerprints is how many fingerprints a log line holds.
const maxLoggedFingerprints = 16

func fingerprints(rows []quarantine.Row) (out []request.Fingerprint) {
	for _, r := range rows[:min(len(rows), maxLoggedFingerprints)] {
		out = append(out, r.Request)
	}
	return out
}

func crashCounts(rows []quarantine.Row) (out []uint32) {
	for _, r := range rows[:min(len(rows), maxLoggedFingerprints)] {
		out = append(out, r.Mark.Ends)
	}
	return out
}

// ownCrashes returns how many crashed processes count against each of the first suspects.
func (e *Entry) ownCrashes(rows []quarantine.Row) (out []int) {
	for _, r := range rows[:min(len(rows), maxLoggedFingerprints)] {
		out = append(out, e.board.Suspects.CountedProcesses(r.Request))
	}
	return out
}
