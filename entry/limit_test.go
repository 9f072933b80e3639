package entry_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/entry"
	"github.com/embercove/embercove/examples"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/trial"
)

// TestSlowBody sends half a body and then waits. The host must close the connection with a
// numbered code instead of holding memory for it.
func TestSlowBody(t *testing.T) {
	c, err := trial.Start(trial.Options{Document: examples.Domaskra, Hosts: 1, Change: func(d *config.Document) { d.Limits.BodyReadMillis = 100 }})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Stop()
	conn, err := net.Dial("tcp", c.Callers()[0])
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\n%s: press\r\nContent-Length: 100\r\n\r\n{\"model\"", entry.HeaderTeam)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	var p entry.Problem
	if err := json.NewDecoder(res.Body).Decode(&p); err != nil || p.Error.Code != int(result.BodyTooSlow) {
		t.Errorf("%v: %+v, want code %d", err, p.Error, result.BodyTooSlow)
	}
}

// TestTeamLimit checks that the next request of a team at its limit is refused as not run,
// while another team's is served.
func TestTeamLimit(t *testing.T) {
	c, err := trial.Start(trial.Options{Document: examples.Domaskra, Hosts: 1, Change: func(d *config.Document) {
		for i := range d.Teams {
			if d.Teams[i].Name == "press" {
				d.Teams[i].MaxConcurrent = 1
			}
		}
	}})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Stop()
	post := func(team, prompt string) *http.Response {
		n := 400
		body, _ := json.Marshal(entry.Body{Model: "docket-reader", Prompt: prompt, MaxTokens: &n, Stream: true})
		q, _ := http.NewRequest("POST", "http://"+c.Callers()[0]+"/v1/completions", bytes.NewReader(body))
		q.Header.Set(entry.HeaderTeam, team)
		res, err := http.DefaultClient.Do(q)
		if err != nil {
			t.Fatal(err)
		}
		return res
	}
	first := post("press", "a long answer") // its head arrives with the first token: it runs
	defer first.Body.Close()
	second := post("press", "another")
	defer second.Body.Close()
	var p entry.Problem
	if err := json.NewDecoder(second.Body).Decode(&p); err != nil || p.Error.Code != int(result.TeamLimit) || !p.Error.NotRun || p.Error.RetryMillis <= 0 {
		t.Errorf("%v: %+v, want code %d, not run, with a retry time", err, p.Error, result.TeamLimit)
	}
	other := post("lawyers", "a third")
	defer other.Body.Close()
	if other.StatusCode != http.StatusOK {
		t.Errorf("another team: %s", other.Status)
	}
	io.Copy(io.Discard, first.Body)
}
