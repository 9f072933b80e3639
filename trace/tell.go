package trace

import (
	"fmt"
	"math"
	"sort"
	"time"
)

func beforeTaken(l Line) string { return "before it was taken: " + l.Detail }

// tell makes a story of the lines of one request. They come from one host, so
// that its clock alone orders them.
func tell(lines []Line) Story {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time < lines[j].Time })
	s := Story{ID: lines[0].ID, CallerID: lines[0].CallerID, Host: lines[0].Host, Cause: "no line of its end: the host may have died, or the line was left out"}
	came := lines[0].Time - lines[0].Took
	for _, l := range lines {
		if l.Message == msgEnd {
			came = l.Time - l.Took
		}
	}
	for _, l := range lines {
		s.Events = append(s.Events, Event{At: round(l.Time - came), What: what(l)})
		if l.Message == msgEnd {
			s.Code, s.Name = l.Code, l.Name
			s.Cause = cause(l, lines)
		}
	}
	return s
}

func round(seconds float64) float64 { return math.Round(seconds*1000) / 1000 }

// what says in words what a line tells.
func what(l Line) string {
	switch l.Message {
	case msgNoRoom:
		return fmt.Sprintf("%s: %s had no room (code %d), known %s; %s left; would have in %s",
			l.Phase, l.Endpoint, l.Code, age(l.DigestAge), seconds(l.Slack), seconds(l.RetryAfter))
	case msgCallFailed:
		return fmt.Sprintf("%s: try %d at %s (%s) failed after %s and %d pieces, may have run %v: %s",
			l.Phase, l.Try, l.Endpoint, l.Address, seconds(l.Took), l.Pieces, l.MayHaveRun, l.Error)
	case msgGoesOn:
		return fmt.Sprintf("decode: goes on at %s, from its copy of what %s wrote, after %d pieces", l.Endpoint, l.From, l.Pieces)
	case msgNoCopy:
		return fmt.Sprintf("decode: %s has no copy of what %s wrote", l.Endpoint, l.From)
	case msgEnd:
		return fmt.Sprintf("ended as %d %s under revision %d and roster %d, route %s, prefill %s, decode %s, %d pieces, first after %s",
			l.Code, l.Name, l.Revision, l.Roster, l.Route, orNone(l.Prefill), orNone(l.Decode), l.Tokens, seconds(l.TTFT))
	}
	return l.Message
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

func age(s float64) string {
	if s < 0 {
		return "by no report"
	}
	return "by a report " + seconds(s) + " old"
}

func seconds(s float64) string {
	return time.Duration(s * float64(time.Second)).Round(time.Millisecond).String()
}

// cause says in one sentence why a request ended as it did.
func cause(end Line, lines []Line) string {
	var failed, refused *Line
	for i := range lines {
		switch lines[i].Message {
		case msgCallFailed:
			failed = &lines[i]
		case msgNoRoom:
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

// refusal makes a story of a request that was refused before it was taken, which
// has no id of the router's.
func refusal(l Line) Story {
	return Story{ID: "none", CallerID: l.CallerID, Host: l.Host, Code: l.Code, Name: l.Name, Cause: beforeTaken(l),
		Events: []Event{{What: fmt.Sprintf("refused as %d %s under revision %d and roster %s, to come back after %s", l.Code, l.Name, l.Revision, l.Roster, seconds(l.RetryAfter))}}}
}
