// Package trace reconstructs what happened to a request from the log lines of one
// or several hosts.
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

// Log messages that the story of a request is built from. The table of events in
// docs/OPERATIONS.md lists their fields.
const (
	msgRequest    = "request"
	msgCallFailed = "call failed"
	msgNoCapacity = "no room"
	msgRefused    = "request refused"
	msgContinued  = "answer goes on from its copy"
	msgNoReplica  = "no copy to go on from"
	msgCrashed    = "endpoint ended under requests"
)

// Line is a log line. Fields that a line doesn't have are zero. Times are in seconds.
type Line struct {
	Host         string          `json:"host"`
	Time         float64         `json:"ts"`
	Message      string          `json:"msg"`
	ID           string          `json:"id"`
	CallerID     string          `json:"caller_id"`
	Route        string          `json:"route"`
	Revision     uint64          `json:"revision"`
	Roster       config.Position `json:"roster"`
	Code         int             `json:"code"`
	Name         string          `json:"name"`
	Detail       string          `json:"detail"`
	Endpoint     string          `json:"endpoint"`
	From         string          `json:"from"`
	Address      string          `json:"address"`
	Phase        string          `json:"phase"`
	TryNumber    int             `json:"try"`
	MayHaveRun   bool            `json:"may_have_run"`
	Chunks       int             `json:"pieces"`
	Took         float64         `json:"took"`
	TTFT         float64         `json:"ttft"`
	Phases       []float64       `json:"phases"`
	Prefill      string          `json:"prefill"`
	Decode       string          `json:"decode"`
	AnswerTokens int             `json:"answer_tokens"`
	RetryAfter   float64         `json:"retry_after"`
	Slack        float64         `json:"slack"`
	DigestAge    float64         `json:"digest_age"`
	Error        string          `json:"error"`
	LinesLeftOut uint64          `json:"lines_left_out"`
	// Fingerprint identifies the content of the request. Suspects are the fingerprints that a
	// crash of an endpoint is counted against, and Crashes how many crashes are counted against
	// each of them, in the same order.
	Fingerprint string   `json:"fingerprint"`
	Suspects    []string `json:"suspects"`
	Crashes     []uint32 `json:"ends"`
}

// maxLine is the length limit of a log line in bytes. Read fails on a longer one.
const maxLine = 1 << 20

// Read returns the log lines of r. It skips text before the JSON of a line, such as a
// log collector's timestamp, and lines without JSON.
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

// Story is the reconstructed course of a request: its events, its result and the cause.
type Story struct {
	ID       string  `json:"id"`
	CallerID string  `json:"caller_id"`
	Host     string  `json:"host"`
	Code     int     `json:"code"`
	Name     string  `json:"name"`
	Cause    string  `json:"cause"`
	Events   []Event `json:"events"`
}

// Event is an event of a story. Its time is in seconds since the request arrived.
type Event struct {
	AtSeconds   float64 `json:"at_s"`
	Description string  `json:"what"`
}

// Stories returns the stories of a request id. An id assigned by the router identifies one
// request. A caller's id may identify several, as the caller may retry at other hosts.
func Stories(lines []Line, id string) []Story {
	byID := map[string][]Line{}
	var order []string
	var refused []Story
	for _, l := range lines {
		if l.Message == msgRefused && l.CallerID == id {
			refused = append(refused, refusedStory(l))
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
	for _, requestID := range order {
		s := buildStory(byID[requestID])
		s.addCrashes(byID[requestID], lines)
		out = append(out, s)
	}
	return append(out, refused...)
}

// addCrashes inserts, before the other events, the crashes of endpoints that are counted
// against the fingerprint of the request. They may have been observed by other hosts and under
// other requests with that fingerprint. Their times are by the clocks of the observing hosts.
func (s *Story) addCrashes(requestLines, lines []Line) {
	fingerprint, arrival := "", requestLines[0].Time
	for _, l := range requestLines {
		if l.Fingerprint != "" {
			fingerprint = l.Fingerprint
		}
		if l.Message == msgRequest {
			arrival = l.Time - l.Took
		}
	}
	var crashes []Event
	for _, l := range lines {
		for i, suspect := range l.Suspects {
			if l.Message == msgCrashed && suspect == fingerprint && i < len(l.Crashes) {
				crashes = append(crashes, Event{AtSeconds: roundMillis(l.Time - arrival), Description: fmt.Sprintf("%s ended as it ran the same request, seen by %s: %d ends counted against it", l.Endpoint, l.Host, l.Crashes[i])})
			}
		}
	}
	sort.SliceStable(crashes, func(i, k int) bool { return crashes[i].AtSeconds < crashes[k].AtSeconds })
	s.Events = append(crashes, s.Events...)
}

// Text writes the story as text.
func (s Story) Text(w io.Writer) {
	fmt.Fprintf(w, "request %s (caller's id %s) on %s\n", s.ID, orNone(s.CallerID), s.Host)
	for _, e := range s.Events {
		fmt.Fprintf(w, "  %8.3f s  %s\n", e.AtSeconds, e.Description)
	}
	fmt.Fprintf(w, "  cause: %s\n", strings.TrimSpace(s.Cause))
}
