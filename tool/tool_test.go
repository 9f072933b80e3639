package tool

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/examples"
	"github.com/embercove/embercove/intake"
	"github.com/embercove/embercove/node"
	"github.com/embercove/embercove/report"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/trial"
)

// run runs the tool and returns its exit code and output.
func run(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = Main(args, &o, &e)
	return code, o.String(), e.String()
}

// TestScripts checks the exit code and a part of the output of commands, mostly
// ones that fail without a running host.
func TestScripts(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.hujson")
	if err := os.WriteFile(bad, []byte("{\n\t\"modles\": [],\n}"), 0o600); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		args string
		code int
		want string
	}{
		{"", ExitOK, "usage: embercove COMMAND"},
		{"help", ExitOK, "status"},
		{"nonsense", ExitUsage, `unknown command "nonsense"`},
		{"version", ExitOK, "embercove " + Version},
		{"version x", ExitUsage, `unexpected argument "x"`},
		{"check", ExitUsage, "name at least one file"},
		{"check ../examples/domaskra.hujson ../examples/paranacor.hujson", ExitOK, "paranacor.hujson: document: valid"},
		{"check " + bad, ExitFailed, `2:2: modles: unknown field; did you mean "models"?`},
		{"check /nowhere", ExitFailed, "no such file"},
		{"status", ExitUsage, "-admin must name"},
		{"status -admin 127.0.0.1:1", ExitNoHost, "no host answered"},
		{"burn -admin 127.0.0.1:1", ExitNoHost, "no host answered"},
		{"explain -admin 127.0.0.1:1", ExitNoHost, "no host answered"},
		{"status -adimn x", ExitUsage, "flag provided but not defined"},
		{"demo -deployment oracle", ExitUsage, "want one of domaskra, paranacor"},
		{"demo -factor 0", ExitUsage, "want more than 0"},
		{"load", ExitUsage, "name -callers, or use -standins"},
		{"bench -loads x -deployment domaskra", ExitUsage, "want a number above 0"},
		{"codes", ExitOK, "| 301 | no_decode_memory |"},
	}
	for _, tc := range cases {
		t.Run(tc.args, func(t *testing.T) {
			code, out, errOut := run(strings.Fields(tc.args)...)
			if code != tc.code || !strings.Contains(out+errOut, tc.want) {
				t.Errorf("code %d, output %q; want %d and %q", code, out+errOut, tc.code, tc.want)
			}
		})
	}
}

// TestHelp compares the help texts with golden files.
func TestHelp(t *testing.T) {
	g := goldie.New(t)
	_, out, _ := run("help")
	g.Assert(t, "help", []byte(out))
	for _, c := range commands() {
		_, _, errOut := run(c.name, "-h")
		g.Assert(t, "help-"+c.name, []byte(errOut))
	}
}

// TestReports compares the reports, as text and as JSON, with golden files. They are made from
// fixed data.
func TestReports(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	rec := report.NewRecorder()
	rec.SetTargets(config.Targets{TTFTMillis: 1300, TPOTMillis: 35, Objective: 0.95})
	for i := range 100 {
		o := report.Outcome{Team: "press", Model: "docket-reader", Code: result.OK, TTFT: time.Second, TPOT: 20 * time.Millisecond}
		if i%2 == 0 {
			o.Team = "lawyers"
		}
		if i%10 == 0 {
			o.Code = result.TooLate
		}
		if i%25 == 1 {
			o.TTFT = 2 * time.Second
		}
		rec.Record(o, now.Add(-time.Duration(i)*time.Minute))
	}
	status := node.Status{Host: "is-a-1", Domain: "is-a", Config: blackboard.ConfigStatus{Revision: 7, Rejected: 8, PlatformSilentSeconds: 42}, Totals: rec.Totals(), RequestsInProgress: 3,
		Hosts:       []node.HostStatus{{Host: "is-a-1", Domain: "is-a", Live: true}, {Host: "is-b-1", Domain: "is-b", Live: false, SilentSeconds: 12}, {Host: "is-c-1", Domain: "is-c", Live: true, Leaving: true}},
		Quotas:      []node.QuotaStatus{{Team: "press", Rate: 29_000, Free: -150, AdmittedPerSecond: 9_000, RequestedPerSecond: 31_000, UsedShare: 0.97, UnreachableDomains: []string{"is-b"}}},
		Evacuations: []node.EvacuationStatus{{Domain: "is-b", KnownSeconds: 12.5, Revision: 41, From: "peer is-c-1", Running: 3}, {Domain: "is-c", KnownSeconds: 2, Revision: 44, From: "store"}},
		Paths:       node.EndpointPaths{Lost: []string{"10.0.0.4:80", "10.0.0.5:80"}, None: []string{"10.0.0.6:80"}, CutOffDomains: []string{"hafnarfjordur"}, Gateways: map[string]int{"entry-2": 2, "entry-3": 1}, TunnelsUsed: 3, TunnelsPassed: 0},
		Intake:      intake.Status{Shut: true, DelayMillis: 140, ShutCount: 31, ShutSeconds: 4.2, Refused: 18, Window: 12, Arriving: 12},
		Versions:    []node.VersionStatus{{Pool: "llm", Role: config.Decode, Software: "v1", Endpoints: 4, Leaving: 1}, {Pool: "llm", Role: config.Decode, Software: "v2", Endpoints: 2}},
		Endpoints: []node.EndpointStatus{{Endpoint: "docket-prefill-1", Role: config.Prefill, Domain: "is-a", Owner: "is-a-1", Software: "v1", State: "ok", QueueMillis: 120, SlowFactor: 1, DigestAgeSeconds: 0.2},
			{Endpoint: "docket-decode-1", Role: config.Decode, Domain: "is-b", State: "down", SlowFactor: 1.5, FailedPercent: 40, DigestAgeSeconds: -1}}}
	rows := []node.RequestRow{{ID: "1-2-3", Team: "press", Model: "docket-reader", Phase: "decode", AgeSeconds: 2.5, PhaseSeconds: 1.25, Prefill: "docket-prefill-1", Decode: "docket-decode-1", Attempts: 2, PromptTokens: 9000}}
	mux := http.NewServeMux()
	answer := func(path string, v any) {
		mux.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) { json.NewEncoder(w).Encode(v) })
	}
	answer(node.PathStatus, status)
	answer(node.PathRequests, rows)
	answer(node.PathBurn, rec.Burn(now))
	srv := httptest.NewServer(mux)
	defer srv.Close()
	addr := strings.TrimPrefix(srv.URL, "http://")
	g := goldie.New(t)
	for _, cmd := range []string{"status", "requests", "burn"} {
		for _, flags := range [][]string{nil, {"-json"}} {
			code, out, errOut := run(append([]string{cmd, "-admin", addr}, flags...)...)
			if code != ExitOK {
				t.Errorf("%s: code %d, %s", cmd, code, errOut)
			}
			g.Assert(t, cmd+strings.Join(flags, ""), []byte(strings.ReplaceAll(out, addr, "ADMIN")))
		}
	}
}

// TestOnHosts runs the commands against a running deployment.
func TestOnHosts(t *testing.T) {
	c, err := trial.Start(trial.Options{Document: examples.Domaskra, Hosts: 3})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Stop()
	admin := c.Settings[0].Admin + "," + c.Settings[1].Admin + ",127.0.0.1:1"
	cases := []struct{ args, want string }{
		{"status -admin " + admin, "docket-prefill-1"},
		{"requests -admin " + admin, "REQUEST"},
		{"burn -admin " + admin, "objective 0.95"},
		{"explain -admin " + admin + " -team press -model docket-reader -tokens 9000", "would go to docket-prefill-"},
		{"explain -admin " + admin + " -team nobody -model docket-reader", "would be refused: unknown_team"},
		{"explain -admin " + admin + " -team press -model oracle", "would be refused: unknown_model"},
		{"load -callers " + c.Settings[0].Callers + " -factor 0.2 -span 1s -leaving 0", "wrong or broken 0"},
	}
	for _, tc := range cases {
		code, out, errOut := run(strings.Fields(tc.args)...)
		if code != ExitOK || !strings.Contains(out, tc.want) {
			t.Errorf("%s: code %d, %s%s\nwant %q", tc.args, code, out, errOut, tc.want)
		}
	}
}
