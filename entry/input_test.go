package entry_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/entry"
	"github.com/embercove/embercove/examples"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/trial"
)

// TestBadInput checks that each invalid call gets its numbered code and reaches no
// endpoint.
func TestBadInput(t *testing.T) {
	c, err := trial.Start(trial.Options{Document: examples.Domaskra, Hosts: 1, Fatal: func(m string) { t.Error(m) },
		Change: func(d *config.Document) {
			d.Limits.BodyBytes = 200_000
			d.Teams = append(d.Teams, config.Team{Name: "guarded", Weight: 1, KeysSHA256: []string{strings.Repeat("ab", 32)}})
		}})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Stop()
	ok := `{"model": "docket-reader", "prompt": "hvenær?", "max_tokens": 3}`
	long := `{"model": "docket-reader", "max_tokens": 3, "prompt": "` + strings.Repeat("a", 140_000) + `"}`
	cases := []struct {
		name, path, body string
		header           map[string]string
		want             result.Code
		detail           string
	}{
		{"no team", "", ok, map[string]string{entry.HeaderTeam: ""}, result.UnknownTeam, entry.HeaderTeam},
		{"wrong team", "", ok, map[string]string{entry.HeaderTeam: "nobody"}, result.UnknownTeam, "nobody"},
		{"no token", "", ok, map[string]string{entry.HeaderTeam: "guarded"}, result.BadCredentials, "guarded"},
		{"malformed", "", `{"model": `, nil, result.BadBody, "body"},
		{"wrong type", "", `{"model": 3}`, nil, result.BadBody, "model: want string"},
		{"no model", "", `{"prompt": "x"}`, nil, result.BadBody, "model: must be set"},
		{"no prompt", "", `{"model": "docket-reader"}`, nil, result.BadBody, "prompt: must be set"},
		{"no messages", "/v1/chat/completions", ok, nil, result.BadBody, "messages: must be set"},
		{"no tokens asked", "", `{"model": "docket-reader", "prompt": "x", "max_tokens": 0}`, nil, result.BadBody, "max_tokens = 0"},
		{"unknown model", "", strings.Replace(ok, "docket-reader", "oracle", 1), nil, result.UnknownModel, "oracle"},
		{"prompt too long", "", long, nil, result.PromptTooLong, "the model takes 32768"},
		{"body too large", "", strings.Repeat("a", 200_001), nil, result.BodyTooLarge, "200000"},
		{"priority", "", ok, map[string]string{entry.HeaderPriority: "11"}, result.BadHeader, entry.HeaderPriority},
		{"deadline", "", ok, map[string]string{entry.HeaderDeadline: "soon"}, result.BadHeader, entry.HeaderDeadline},
		{"repeatable", "", ok, map[string]string{entry.HeaderRepeatable: "no"}, result.BadHeader, entry.HeaderRepeatable},
		{"labels", "", ok, map[string]string{entry.HeaderLabels: "a"}, result.BadHeader, "want key=value"},
		{"key age", "", ok, map[string]string{entry.HeaderKey: "k", entry.HeaderKeyAge: "-1"}, result.BadHeader, entry.HeaderKeyAge},
		{"key too long", "", ok, map[string]string{entry.HeaderKey: strings.Repeat("k", 256)}, result.BadHeader, entry.HeaderKey},
		{"unknown service", "/services/oracle/x", "", nil, result.UnknownService, "oracle"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			path := tc.path
			if path == "" {
				path = "/v1/completions"
			}
			q, _ := http.NewRequest("POST", "http://"+c.Callers()[0]+path, strings.NewReader(tc.body))
			q.Header.Set(entry.HeaderTeam, "press")
			for k, v := range tc.header {
				q.Header.Set(k, v)
			}
			res, err := http.DefaultClient.Do(q)
			if err != nil {
				t.Fatal(err)
			}
			defer res.Body.Close()
			var p entry.Problem
			if err := json.NewDecoder(res.Body).Decode(&p); err != nil {
				t.Fatal(err)
			}
			notRun := tc.header[entry.HeaderKey] == "" // an earlier attempt under the key may have run
			if p.Error.Code != int(tc.want) || p.Error.NotRun != notRun || !strings.Contains(p.Error.Message, tc.detail) {
				t.Errorf("got %+v, want code %d and %q", p.Error, tc.want, tc.detail)
			}
			if res.StatusCode != tc.want.Info().Status {
				t.Errorf("status %d, want %d", res.StatusCode, tc.want.Info().Status)
			}
		})
	}
	t.Run("oversized header", func(t *testing.T) {
		q, _ := http.NewRequest("POST", "http://"+c.Callers()[0]+"/v1/completions", strings.NewReader(ok))
		q.Header.Set(entry.HeaderTeam, strings.Repeat("t", 64<<10))
		res, err := http.DefaultClient.Do(q)
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		if res.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("status %d, want 431", res.StatusCode)
		}
	})
	if n := len(c.Records()); n != 0 {
		t.Errorf("%d calls reached endpoints, want none", n)
	}
}
