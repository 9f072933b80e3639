package trace

import (
	"fmt"
	"math"
	"sort"
	"time"
)

func refusedCause(l Line) string { return "before it was taken: " + l.Detail }

// buildStory makes a story of the log lines of one request. All of them come from one
// host, so its clock alone determines their order.
func buildStory(lines []Line) Story {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time < lines[j].Time })
	s := Story{ID: lines[0].ID, CallerID: lines[0].CallerID, Host: lines[0].Host, Cause: "no final log line: the host may have crashed, or the line was dropped"}
	arrival := lines[0].Time - lines[0].Took
	for _, l := range lines {
		if l.Message == msgRequest {
			arrival = l.Time - l.Took
		}
	}
	for _, l := range lines {
		s.Events = append(s.Events, Event{AtSeconds: roundMillis(l.Time - arrival), Description: describe(l)})
		if l.Message == msgRequest {
			s.Code, s.Name = l.Code, l.Name
			s.Cause = causeOf(l, lines)
		}
	}
	return s
}

func roundMillis(seconds float64) float64 { return math.Round(seconds*1000) / 1000 }

// describe returns the description of the event that a line reports.
func describe(l Line) string {
	switch l.Message {
	case msgNoCapacity:
		return fmt.Sprintf("%s: %s had no room (code %d), known %s; %s left; would have in %s",
			l.Phase, l.Endpoint, l.Code, reportAge(l.DigestAge), formatSeconds(l.Slack), formatSeconds(l.RetryAfter))
	case msgCallFailed:
		return fmt.Sprintf("%s: try %d at %s (%s) failed after %s and %d pieces, may have run %v: %s",
			l.Phase, l.TryNumber, l.Endpoint, l.Address, formatSeconds(l.Took), l.Chunks, l.MayHaveRun, l.Error)
	case msgContinued:
		return fmt.Sprintf("decode: continues at %s, from its replica of the KV cache of %s, after %d pieces", l.Endpoint, l.From, l.Chunks)
	case msgNoReplica:
		return fmt.Sprintf("decode: %s has no replica of the KV cache of %s", l.Endpoint, l.From)
	case msgRequest:
		return fmt.Sprintf("ended as %d %s under revision %d and roster %d, route %s, prefill %s, decode %s, %d pieces, first after %s",
			l.Code, l.Name, l.Revision, l.Roster, l.Route, orNone(l.Prefill), orNone(l.Decode), l.AnswerTokens, formatSeconds(l.TTFT))
	}
	return l.Message
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

func reportAge(s float64) string {
	if s < 0 {
		return "by no report"
	}
	return "by a report " + formatSeconds(s) + " old"
}

func formatSeconds(s float64) string {
	return time.Duration(s * float64(time.Second)).Round(time.Millisecond).String()
}

// causeOf states in one sentence why a request ended with its result.
func causeOf(end Line, lines []Line) string {
	var failed, refused *Line
	for i := range lines {
		switch lines[i].Message {
		case msgCallFailed:
			failed = &lines[i]
		case msgNoCapacity:
			refused = &lines[i]
		}
	}
	switch {
	case end.Name == "ok" && failed == nil:
		return "answered whole"
	case end.Name == "ok":
		return fmt.Sprintf("answered whole after %s failed at %s", failed.Phase, failed.Endpoint)
	case failed != nil:
		return fmt.Sprintf("%s: %s failed at %s: %s", end.Name, failed.Phase, failed.Endpoint, failed.Error)
	case refused != nil:
		return fmt.Sprintf("%s: no room at %s for %s within its target", end.Name, refused.Endpoint, refused.Phase)
	case end.Detail != "":
		return end.Name + ": " + end.Detail
	}
	return end.Name
}

// refusedStory makes a story of a request that was refused before it was accepted. The
// router assigns no id to such a request.
func refusedStory(l Line) Story {
	return Story{ID: "none", CallerID: l.CallerID, Host: l.Host, Code: l.Code, Name: l.Name, Cause: refusedCause(l),
		Events: []Event{{Description: fmt.Sprintf("refused as %d %s under revision %d and roster %s, retry after %s", l.Code, l.Name, l.Revision, l.Roster, formatSeconds(l.RetryAfter))}}}
}
