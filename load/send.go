package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/embercove/embercove/entry"
	"github.com/embercove/embercove/internal/fake"
	"github.com/embercove/embercove/result"
)

// Result is the outcome of one arrival as its caller saw it.
type Result struct {
	Arrival
	Code       result.Code // 0: the connection broke without a result code
	NotRun     bool        // the router reported that the request did not run
	Left       bool        // the caller left before its answer was complete
	CleanEnd   bool        // the stream ended cleanly
	Garbled    bool        // a token was wrong, missing or duplicated, whatever followed
	Correct    bool        // the text is the complete correct answer
	Tokens     int
	TTFT       time.Duration
	TPOT       time.Duration
	RetryAfter time.Duration // delay before a retry, as the router reported it
	Duration   time.Duration
	Ended      time.Time
}

// Sender sends arrivals to entry hosts.
type Sender struct {
	Addresses []string
	Dial      func(ctx context.Context, network, address string) (net.Conn, error)
	Model     string
	Progress  func(done, started int) // called about once a second; may be nil
}

// Send sends every arrival at its time, whether or not earlier ones have ended, and
// returns the results in order of arrival once all have ended.
func (s *Sender) Send(ctx context.Context, arrivals []Arrival) []Result {
	hc := &http.Client{Transport: &http.Transport{DialContext: s.Dial, MaxIdleConnsPerHost: 512}}
	defer hc.CloseIdleConnections()
	out := make([]Result, len(arrivals))
	var wg sync.WaitGroup
	var mu sync.Mutex
	done := 0
	start := time.Now()
	lastProgress := start
	for i, a := range arrivals {
		if d := a.At - time.Since(start); d > 0 {
			select {
			case <-time.After(d):
			case <-ctx.Done():
				return out[:i]
			}
		}
		if s.Progress != nil && time.Since(lastProgress) > time.Second {
			lastProgress = time.Now()
			mu.Lock()
			s.Progress(done, i)
			mu.Unlock()
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			out[i] = s.sendOne(ctx, hc, a)
			mu.Lock()
			defer mu.Unlock()
			done++
		}()
	}
	wg.Wait()
	return out
}

// callTimeout bounds one call.
const callTimeout = 60 * time.Second

func (s *Sender) sendOne(ctx context.Context, hc *http.Client, a Arrival) Result {
	res := Result{Arrival: a}
	limit := callTimeout
	if a.LeaveAfter > 0 {
		limit = a.LeaveAfter
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	start := time.Now()
	s.call(ctx, hc, a, start, &res)
	res.Ended = time.Now()
	res.Duration = res.Ended.Sub(start)
	res.Left = a.LeaveAfter > 0 && !res.CleanEnd && res.Code == 0
	return res
}

func (s *Sender) call(ctx context.Context, hc *http.Client, a Arrival, start time.Time, res *Result) {
	n := a.MaxTokens
	body, _ := json.Marshal(entry.Body{Model: s.Model, Prompt: a.Prompt, MaxTokens: &n, Stream: true})
	addr := s.Addresses[a.Host%len(s.Addresses)]
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return
	}
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set(entry.HeaderTeam, a.Team)
	if a.NotRepeatable {
		q.Header.Set(entry.HeaderRepeatable, "false")
	}
	if a.Key != "" {
		q.Header.Set(entry.HeaderKey, a.Key)
		q.Header.Set(entry.HeaderKeyAge, strconv.FormatInt(a.KeyAge.Milliseconds(), 10))
	}
	w, err := hc.Do(q)
	if err != nil {
		return
	}
	defer w.Body.Close()
	if w.StatusCode != http.StatusOK {
		decodeProblem(w.Body, res)
		return
	}
	readStream(w.Body, start, res)
	res.Correct = res.CleanEnd && res.Tokens == fake.AnswerLength(a.Prompt, a.MaxTokens)
}

func decodeProblem(r io.Reader, res *Result) {
	var p entry.Problem
	if json.NewDecoder(io.LimitReader(r, 1<<16)).Decode(&p) != nil {
		return
	}
	res.Code, res.NotRun = result.Code(p.Error.Code), p.Error.NotRun
	res.RetryAfter = time.Duration(p.Error.RetryMillis) * time.Millisecond
}

// readStream reads an answer and checks each token against the expected one.
func readStream(r io.Reader, start time.Time, res *Result) {
	sc := bufio.NewScanner(r)
	hash := fake.PromptHash(res.Prompt)
	var first, last time.Time
	correct, failed := true, false
	for sc.Scan() {
		line := sc.Text()
		if line == "event: error" {
			failed = true
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case !ok:
			continue
		case failed:
			decodeProblem(strings.NewReader(data), res)
			return
		case data == "[DONE]":
			res.CleanEnd = correct
			res.Code = result.OK
			continue
		}
		var c struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &c) != nil || len(c.Choices) == 0 {
			correct = false
			continue
		}
		correct = correct && c.Choices[0].Text == fake.Token(hash, res.Tokens)
		res.Garbled = !correct
		res.Tokens++
		last = time.Now()
		if first.IsZero() {
			first = last
		}
	}
	if !first.IsZero() {
		res.TTFT = first.Sub(start)
	}
	if res.Tokens > 1 {
		res.TPOT = last.Sub(first) / time.Duration(res.Tokens-1)
	}
}
