// Package trace puts the log lines of one request in order and says what
// became of it, from the logs of one or several hosts.
package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"github.com/embercove/embercove/config"
	"io"
	"sort"
	"strings"
)

// Messages of the log that a request's story is made of. The table of events
// in docs/OPERATIONS.md lists their fields.
const (
	msgEnd        = "request"
	msgCallFailed = "call failed"
	msgNoRoom     = "no room"
	msgRefused    = "request refused"
	msgGoesOn     = "answer goes on from its copy"
	msgNoCopy     = "no copy to go on from"
	msgEnded      = "endpoint ended under requests"
)

// Line is one log line. Fields that a line doesn't have are at their zero
// values; times are in seconds.
type Line struct {
	Host       string          `json:"host"`
	Time       float64         `json:"ts"`
	Message    string          `json:"msg"`
	ID         string          `json:"id"`
	CallerID   string          `json:"caller_id"`
	Route      string          `json:"route"`
	Revision   uint64          `json:"revision"`
	Roster     config.Position `json:"roster"`
	Code       int             `json:"code"`
	Name       string          `json:"name"`
	Detail     string          `json:"detail"`
	Endpoint   string          `json:"endpoint"`
	From       string          `json:"from"`
	Address    string          `json:"address"`
	Phase      string          `json:"phase"`
	Try        int             `json:"try"`
	MayHaveRun bool            `json:"may_have_run"`
	Pieces     int             `json:"pieces"`
	Took       float64         `json:"took"`
	TTFT       float64         `json:"ttft"`
	Phases     []float64       `json:"phases"`
	Prefill    string          `json:"prefill"`
	Decode     string          `json:"decode"`
	Tokens     int             `json:"answer_tokens"`
	RetryAfter float64         `json:"retry_after"`
	Slack      float64         `json:"slack"`
	DigestAge  float64         `json:"digest_age"`
	Error      string          `json:"error"`
	LeftOut    uint64          `json:"lines_left_out"`
	// Fingerprint names what the request asks for; Suspects are the fingerprints that an end
	// of an endpoint speaks against, and Ends how many do so, in the same order.
	Fingerprint string   `json:"fingerprint"`
	Suspects    []string `json:"suspects"`
	Ends        []uint32 `json:"ends"`
}

// maxLine bounds one line, in bytes; longer ones are passed over.
const maxLine = 1 << 20

// Read returns the log lines of r. What stands before the JSON on a line, as a
// collector's own stamp, is passed over, and so are lines without any.
func Read(r io.Reader) ([]Line, error) {
	var out []Line
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), maxLine)
	for s.Scan() {
		text := s.Bytes()
		at := bytes.IndexByte(text, '{')
		if at < 0 {
			continue
		}
		var l Line
		if json.Unmarshal(text[at:], &l) == nil && l.Message != "" {
			out = append(out, l)
		}
	}
	return out, s.Err()
}

// Story is what became of one request.
type Story struct {
	ID       string  `json:"id"`
	CallerID string  `json:"caller_id"`
	Host     string  `json:"host"`
	Code     int     `json:"code"`
	Name     string  `json:"name"`
	Cause    string  `json:"cause"`
	Events   []Event `json:"events"`
}

// Event is one moment of a story, in seconds since the request came.
type Event struct {
	At   float64 `json:"at_s"`
	What string  `json:"what"`
}

// Of returns the stories of an id: the router's own, which names one, or the
// caller's, which may name several tries that met different hosts.
func Of(lines []Line, id string) []Story {
	byID := map[string][]Line{}
	var order []string
	var refused []Story
	for _, l := range lines {
		if l.Message == msgRefused && l.CallerID == id {
			refused = append(refused, refusal(l))
		}
		if l.ID == "" || l.ID != id && l.CallerID != id {
			continue
		}
		if byID[l.ID] == nil {
			order = append(order, l.ID)
		}
		byID[l.ID] = append(byID[l.ID], l)
	}
	var out []Story
	for _, own := range order {
		s := tell(byID[own])
		s.addEnds(byID[own], lines)
		out = append(out, s)
	}
	return append(out, refused...)
}

// addEnds adds, before the other events, the ends of endpoints that speak against what a
// request asks for, whichever request they were seen under and by whichever host. Their times
// are by the clocks of these hosts.
func (s *Story) addEnds(own, lines []Line) {
	fingerprint, came := "", own[0].Time
	for _, l := range own {
		if l.Fingerprint != "" {
			fingerprint = l.Fingerprint
		}
		if l.Message == msgEnd {
			came = l.Time - l.Took
		}
	}
	var ends []Event
	for _, l := range lines {
		for i, f := range l.Suspects {
			if l.Message == msgEnded && f == fingerprint && i < len(l.Ends) {
				ends = append(ends, Event{At: round(l.Time - came), What: fmt.Sprintf("%s ended as it ran the same request, seen by %s: %d ends speak against it", l.Endpoint, l.Host, l.Ends[i])})
			}
		}
	}
	sort.SliceStable(ends, func(i, k int) bool { return ends[i].At < ends[k].At })
	s.Events = append(ends, s.Events...)
}

// Text writes a story for a person.
func (s Story) Text(w io.Writer) {
	fmt.Fprintf(w, "request %s (caller's id %s) on %s\n", s.ID, orNone(s.CallerID), s.Host)
	for _, e := range s.Events {
		fmt.Fprintf(w, "  %8.3f s  %s\n", e.At, e.What)
	}
	fmt.Fprintf(w, "  cause: %s\n", strings.TrimSpace(s.Cause))
}
