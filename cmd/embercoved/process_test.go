package main

import (
	"bytes"
	"debug/elf"
	"encoding/json"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/embercove/embercove/entry"
	"github.com/embercove/embercove/internal/fake"
	"github.com/embercove/embercove/load"
)

// TestWholePath starts every program as a separate process. It sends a docket bundle of
// about 20,000 tokens with a short answer and a short question with a long answer, streamed
// and not, and checks that the answers are complete. A planned stop of a host must then
// exit with code 0.
func TestWholePath(t *testing.T) {
	c := startCluster(t, 3, nil)
	arrivals := load.Mixes["domaskra"].Arrivals(3, 50, 10*time.Second, 0)
	long, short := "", ""
	for _, a := range arrivals {
		if a.MaxTokens == 4 && len(a.Prompt) > len(long) {
			long = a.Prompt
		}
		if a.MaxTokens == 400 {
			short = a.Prompt
		}
	}
	long += "\n" + long[:max(0, 80_000-len(long))]
	cases := []struct {
		name, prompt string
		max          int
		stream       bool
	}{
		{"docket bundle, streamed", long, 4, true},
		{"docket bundle, whole", long + "?", 4, false},
		{"short question, streamed", short, 400, true},
		{"short question, whole", short + "?", 400, false},
	}
	for i, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			got := sendCompletion(t, c.settings[i%3].Callers, tc.prompt, tc.max, tc.stream)
			if want := fake.Answer(tc.prompt, tc.max); got != want {
				t.Errorf("got %d bytes, want %d: %.60q", len(got), len(want), got)
			}
		})
	}
	t.Run("plain service", func(t *testing.T) {
		q, _ := http.NewRequest("POST", "http://"+c.settings[0].Callers+"/services/listings/notice?x=1", strings.NewReader("hearing moved"))
		q.Header.Set(entry.HeaderTeam, "press")
		q.Header.Set(entry.HeaderRepeatable, "false")
		res, err := http.DefaultClient.Do(q)
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		b, _ := io.ReadAll(res.Body)
		if want := fake.AppAnswer([]byte("hearing moved")); string(b) != want {
			t.Errorf("got %q, want %q", b, want)
		}
	})
	t.Run("planned stop", func(t *testing.T) {
		c.hosts[0].signal(syscall.SIGTERM)
		<-c.hosts[0].done
		if code := c.hosts[0].ProcessState.ExitCode(); code != exitOK {
			t.Errorf("exit code %d, want %d", code, exitOK)
		}
	})
}

// sendCompletion sends a completion request and returns the text of the answer.
func sendCompletion(t *testing.T, addr, prompt string, maxTokens int, stream bool) string {
	t.Helper()
	body, _ := json.Marshal(entry.Body{Model: "docket-reader", Prompt: prompt, MaxTokens: &maxTokens, Stream: stream})
	q, _ := http.NewRequest("POST", "http://"+addr+"/v1/completions", bytes.NewReader(body))
	q.Header.Set(entry.HeaderTeam, "lawyers")
	res, err := http.DefaultClient.Do(q)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	src, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != http.StatusOK {
		t.Fatalf("%s %v: %.300s", res.Status, err, src)
	}
	if !stream {
		return answerText(t, src)
	}
	var b strings.Builder
	done := false
	for line := range strings.Lines(string(src)) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		switch {
		case !ok:
		case data == "[DONE]":
			done = true
		default:
			b.WriteString(answerText(t, []byte(data)))
		}
	}
	if !done {
		t.Error("no [DONE] event at the end of the answer")
	}
	return b.String()
}

func answerText(t *testing.T, src []byte) string {
	t.Helper()
	var c struct {
		Choices []struct{ Text string }
	}
	if err := json.Unmarshal(src, &c); err != nil || len(c.Choices) != 1 {
		t.Fatalf("%v in %.200q", err, src)
	}
	return c.Choices[0].Text
}

// TestLinkage checks that the programs are linked dynamically to the C library.
func TestLinkage(t *testing.T) {
	for _, name := range []string{"embercoved", "embercove", "embercove-fake"} {
		f, err := elf.Open(filepath.Join(binaries(t), name))
		if err != nil {
			t.Fatal(err)
		}
		libs, err := f.ImportedLibraries()
		f.Close()
		if err != nil || !slices.ContainsFunc(libs, func(l string) bool { return strings.HasPrefix(l, "libc.") }) {
			t.Errorf("%s: libraries %v, %v: want the C library", name, libs, err)
		}
	}
}

// TestBadSettings checks that the daemon's error about bad settings names the field and the cause.
func TestBadSettings(t *testing.T) {
	cases := []struct{ name, src, want string }{
		{"typo", `{"host": "a", "failure_domian": "x"}`, `did you mean "failure_domain"?`},
		{"host name", `{"host": "a", "failure_domain": "d", "region": "r", "callers_address": "localhost:80"}`, `callers_address = "localhost:80": want IP:port`},
		{"wrong type", `{"host": 3}`, "host = number: want string"},
		{"not JSON", `{"host": `, "document"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			cmd := exec.Command(filepath.Join(binaries(t), "embercoved"), "-settings", "-")
			cmd.Stdin = strings.NewReader(tc.src)
			out, err := cmd.CombinedOutput()
			if err == nil || !strings.Contains(string(out), tc.want) {
				t.Errorf("err %v, output %s\nwant %q", err, out, tc.want)
			}
		})
	}
}
