package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/embercove/embercove/entry"
	"github.com/embercove/embercove/internal/fake"
)

// Limits of the process that a crowd calls. The memory is what its machine has.
const (
	crowdMemoryMegabytes = 80
	crowdDescriptors     = 1000
)

// Sizes of crowds. Bodies are of the largest legal size, or small.
const (
	largeBody, largeCrowd = 4 << 20, 40
	smallBody, smallCrowd = 120 << 10, 450
)

// crowdHead returns the head of a crowd's requests.
func crowdHead(path string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\n" + entry.HeaderTeam + ": press\r\n"
}

// crowdCompletion returns the body of a completion call of about some bytes.
func crowdCompletion(bytes int, stream bool) string {
	maxTokens := 400
	src, _ := json.Marshal(entry.Body{Model: "docket-reader", Prompt: strings.Repeat("x", bytes), MaxTokens: &maxTokens, Stream: stream,
		Messages: []entry.Message{{Role: "user", Content: strings.Repeat("x", bytes)}}})
	return string(src)
}

// TestCompletionCrowdEndsNoProcess has callers that don't behave call a host's process. It must live and stay within its memory and descriptors, an
// ordinary request must be answered while the crowd's connections are open, and a planned stop must end.
func TestCompletionCrowdEndsNoProcess(t *testing.T) {
	c := startCluster(t, 1, nil)
	c.settings[0].MemoryMegabytes, c.settings[0].Descriptors = crowdMemoryMegabytes, crowdDescriptors
	cases := []struct {
		name    string
		callers int
		m       fake.Misbehavior
	}{
		{"completions that stop short", largeCrowd, fake.Misbehavior{Head: crowdHead("/v1/completions"), Body: largeBody, Withheld: 1}},
		{"chats in chunks that stop short", largeCrowd, fake.Misbehavior{Head: crowdHead("/v1/chat/completions"), Body: largeBody, Chunk: 64, Withheld: 1}},
		{"service calls piece by piece that stop short", largeCrowd, fake.Misbehavior{Head: crowdHead("/services/listings/notice"), Body: largeBody, Piece: 16 << 10, Withheld: 1}},
		{"small completions that stop short", smallCrowd, fake.Misbehavior{Head: crowdHead("/v1/completions"), Body: smallBody, Withheld: 1}},
		{"whole bodies that are too long a prompt", 2 * largeCrowd, fake.Misbehavior{Head: crowdHead("/v1/completions"), Content: crowdCompletion(largeBody/3, false)}},
		{"whole completions", smallCrowd, fake.Misbehavior{Head: crowdHead("/v1/completions"), Content: crowdCompletion(smallBody, false)}},
		{"whole chats that nobody reads", smallCrowd, fake.Misbehavior{Head: crowdHead("/v1/chat/completions"), Content: crowdCompletion(smallBody, true)}},
		{"whole service calls", largeCrowd, fake.Misbehavior{Head: crowdHead("/services/listings/notice"), Body: largeBody}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c.hosts[0].kill()
			c.hosts[0] = c.startHost(0)
			c.waitReady(0)
			crowd := fake.StartCrowd(c.settings[0].Callers, tc.callers, tc.m)
			defer crowd.Close()
			c.checkAnswers(t)
			c.checkBounds(t)
			c.checkAnswers(t)
			c.hosts[0].signal(syscall.SIGTERM)
			<-c.hosts[0].done
		})
	}
}

// TestLargestServiceBodyIsServed sends bodies of the largest legal size to a host with little memory that nobody else calls.
func TestLargestServiceBodyIsServed(t *testing.T) {
	c := startCluster(t, 1, nil)
	c.hosts[0].kill()
	c.settings[0].MemoryMegabytes, c.settings[0].Descriptors = crowdMemoryMegabytes, crowdDescriptors
	c.hosts[0] = c.startHost(0)
	c.waitReady(0)
	for range 3 {
		if status, err := c.sendService(bytes.Repeat([]byte("x"), largeBody)); err != nil || status != http.StatusOK {
			t.Errorf("service: status %d, %v, want 200", status, err)
		}
		prompt := strings.Repeat("x", smallBody)
		if got, want := sendCompletion(t, c.settings[0].Callers, prompt, 4, false), fake.Answer(prompt, 4); got != want {
			t.Errorf("got %d bytes, want %d", len(got), len(want))
		}
	}
	c.checkBounds(t)
}

// sendService sends a call to a plain service on a new connection.
func (c *cluster) sendService(body []byte) (status int, err error) {
	q, err := http.NewRequest(http.MethodPost, "http://"+c.settings[0].Callers+"/services/listings/notice", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	q.Header.Set(entry.HeaderTeam, "press")
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(q)
	if err != nil {
		return 0, err
	}
	return res.StatusCode, res.Body.Close()
}

// checkAnswers checks that an ordinary request is answered, by one of the tries that its caller makes.
func (c *cluster) checkAnswers(t *testing.T) {
	t.Helper()
	var status int
	var err error
	for until := time.Now().Add(waitLimit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if status, err = c.sendService([]byte("ordinary")); status == http.StatusOK {
			return
		}
	}
	t.Errorf("an ordinary request isn't answered: status %d, %v", status, err)
}

// checkBounds checks that the host's process lives, and the bounds of its memory and descriptors.
func (c *cluster) checkBounds(t *testing.T) {
	t.Helper()
	p := c.hosts[0]
	select {
	case <-p.done:
		t.Fatal("the process has ended")
	default:
	}
	peak, err := fake.AwaitPeak(p.Process.Pid)
	if err != nil {
		t.Fatal(err)
	}
	if peak > crowdMemoryMegabytes<<20 {
		t.Errorf("the process used %d MB, its machine has %d MB", peak>>20, crowdMemoryMegabytes)
	}
	open, err := fake.Descriptors(p.Process.Pid)
	if err != nil {
		t.Fatal(err)
	}
	if open > crowdDescriptors {
		t.Errorf("%d descriptors are open, the process may have %d", open, crowdDescriptors)
	}
	t.Logf("peak of memory %d MB, %d descriptors", peak>>20, open)
}
