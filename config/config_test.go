package config

import (
	"strings"
	"testing"

	"github.com/embercove/embercove/examples"
)

// TestDocumentErrors makes one change to a valid document and checks the error.
func TestDocumentErrors(t *testing.T) {
	cases := []struct{ name, from, to, want string }{
		{"typo", `"tokens_per_second"`, `"token_per_second"`, `token_per_second: unknown field; did you mean "tokens_per_second"?`},
		{"host name", `"127.0.0.1:7101"`, `"localhost:7101"`, `endpoints[0].address = "localhost:7101": want IP:port`},
		{"address twice", `"127.0.0.1:7102"`, `"127.0.0.1:7101"`, `endpoints[1].address = "127.0.0.1:7101": is used twice`},
		{"unknown domain", `"failure_domain": "is-a"`, `"failure_domain": "is-z"`, `is not among failure_domains`},
		{"unknown role", `"role": "prefill"`, `"role": "reader"`, `want one of prefill, decode, service`},
		{"unknown model", `"model": "docket-reader"`, `"model": "oracle"`, `endpoints[0].model = "oracle": is not among models`},
		{"unknown adapter", `"adapters": ["plain-icelandic"], "tokens`, `"adapters": ["norse"], "tokens`, `is not an adapter of the model`},
		{"no rate", `"tokens_per_second": 40000`, `"tokens_per_second": 0`, `endpoints[0].tokens_per_second = 0: want 1 to 1e+09`},
		{"bad selector", `"prefill": "app=docket"`, `"prefill": "app in ("`, `routes[0].prefill`},
		{"empty selector", `"decode": "app=docket"`, `"decode": ""`, `empty selector; write "*" for everything`},
		{"team twice", `"name": "press"`, `"name": "lawyers"`, `teams[1].name = "lawyers": is used twice`},
		{"bad name", `"name": "press"`, `"name": "the\u0007press"`, `want printable text`},
		{"bad domain name", `{"name": "is-a"`, `{"name": "the\u0007first"`, `want printable text`},
		{"no target", `"ttft_ms": 1300`, `"ttft_ms": 0`, `targets.ttft_ms = 0: want 1`},
		{"unknown policy", `"mode": "owner"`, `"mode": "best"`, `policy.mode = "best": want one of owner`},
		{"wrong type", `"slots": 32`, `"slots": "many"`, `want int`},
		{"comma", `"failure_domains": [`, `"failure_domains" [`, `document`},
		{"two documents", `"policy"`, `}{"policy"`, `document`},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			src := strings.Replace(string(examples.Domaskra), tc.from, tc.to, 1)
			if src == string(examples.Domaskra) {
				t.Fatalf("%q is not in the document", tc.from)
			}
			_, err := ParseDocument([]byte(src))
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("got %v, want %q", err, tc.want)
			}
		})
	}
}

// TestPositions checks that an error has line and column.
func TestPositions(t *testing.T) {
	src := "{\n\t\"failure_domains\": [\n\t\t{\"name\": \"a\", \"region\": \"\"},\n\t],\n}"
	_, err := ParseDocument([]byte(src))
	if err == nil || !strings.HasPrefix(err.Error(), `3:27: failure_domains[0].region = "": must be set`) {
		t.Errorf("got %v", err)
	}
}

// TestWeights checks that the weights of the two example deployments lead to different trade-offs.
func TestWeights(t *testing.T) {
	views := map[string]*View{}
	for _, n := range examples.Names {
		v, err := NewView(1, examples.Document(n))
		if err != nil {
			t.Fatal(err)
		}
		views[n] = v
	}
	d, p := views["domaskra"], views["paranacor"]
	if d.FullEngineShare() <= p.FullEngineShare() {
		t.Errorf("full engines: %g and %g, want Dómaskrá to overbook more", d.FullEngineShare(), p.FullEngineShare())
	}
	if d.MaxPrefillDelayShare() != 0 || p.MaxPrefillDelayShare() <= 0 {
		t.Errorf("prefill delay shares: %g and %g, want only Paranacor's above 0", d.MaxPrefillDelayShare(), p.MaxPrefillDelayShare())
	}
}

func TestSelector(t *testing.T) {
	labels := map[string]string{"app": "docket", "tier": "gold"}
	cases := []struct {
		sel  string
		want bool
	}{
		{"*", true}, {"app=docket", true}, {"app=climate", false}, {"app in (docket,climate)", true}, {"app=docket,tier=gold", true},
		{"app=docket,tier!=gold", false}, {"!legacy", true}, {"legacy", false}, {"tier notin (silver)", true}, {"app==docket", true},
	}
	for _, tc := range cases {
		s, err := ParseSelector(tc.sel)
		if err != nil {
			t.Errorf("%s: %v", tc.sel, err)
		} else if s.Matches(labels) != tc.want {
			t.Errorf("%s: got %v", tc.sel, !tc.want)
		}
	}
	if (Selector{}).Matches(labels) {
		t.Error("the zero selector matches")
	}
}

// FuzzDocument checks that no input makes the parser panic, and that parsing is deterministic.
func FuzzDocument(f *testing.F) {
	f.Add(examples.Domaskra)
	f.Add(examples.Paranacor)
	f.Add([]byte(`{"endpoints": [{}], "routes": [{"requests": "a in (b"}]}`))
	f.Add([]byte(`// nothing`))
	f.Fuzz(func(t *testing.T, src []byte) {
		v, err := NewView(1, src)
		w, again := NewView(1, src)
		if (err == nil) != (again == nil) {
			t.Fatal("the same bytes are accepted once and rejected once")
		}
		if err == nil && v.Digest != w.Digest {
			t.Fatal("the same bytes have two digests")
		}
		if err != nil && err.Error() == "" {
			t.Fatal("rejected without a reason")
		}
	})
}

func FuzzSelector(f *testing.F) {
	for _, s := range []string{"*", "a=b", "a in (b, c),!d", "a=(", "", "=,=", "a notin ()"} {
		f.Add(s)
	}
	f.Fuzz(func(_ *testing.T, s string) {
		if sel, err := ParseSelector(s); err == nil {
			sel.Matches(map[string]string{"a": "b"})
		}
	})
}

func FuzzSettings(f *testing.F) {
	f.Add([]byte(`{"host": "a", "callers_address": "127.0.0.1:1"}`))
	f.Fuzz(func(t *testing.T, src []byte) {
		if s, err := ParseSettings(src); err == nil && s.Host == "" {
			t.Fatal("accepted without a host")
		}
	})
}

// TestNamesOfHubs guards against a document that is rejected whole for the name of a model, pool or route that operators and
// model hubs do choose, and checks that control characters and lengths are still refused.
func TestNamesOfHubs(t *testing.T) {
	cases := map[string]string{
		"open-weights/answer-120b": "", "org/model:tag@sha256+q4": "", "Antwort für alle": "", "": "must be set",
		"a\nb": "want printable text", strings.Repeat("a", maxTextLen+1): "want at most 256 bytes",
	}
	for name, want := range cases {
		c := new(checker)
		c.text("name", name)
		switch {
		case want == "" && len(c.errs) > 0:
			t.Errorf("%q: %v", name, c.errs)
		case want != "" && (len(c.errs) != 1 || !strings.Contains(c.errs[0].Error(), want)):
			t.Errorf("%q: %v, want %q", name, c.errs, want)
		}
	}
}

// TestRoutesByHost guards against routes that no request matches because their host is written in capitals or with a port.
func TestRoutesByHost(t *testing.T) {
	v := &View{Doc: &Document{Domains: []Domain{{Name: "a", Region: "r"}}, Pools: []Pool{{Name: "web"}}}}
	for _, host := range []string{"plain.example", "Capitals.Example", "port.example:8144", "[2001:DB8::1]:80"} {
		v.Doc.Routes = append(v.Doc.Routes, Route{Name: host, Host: host, PathPrefix: "/a/", Pools: []PoolShare{{"web", 1}}})
	}
	v.index()
	for asked, want := range map[string]string{"plain.example": "plain.example", "PLAIN.example:80": "plain.example", "capitals.example": "Capitals.Example",
		"port.example": "port.example:8144", "port.example:8144": "port.example:8144", "[2001:db8::1]:80": "[2001:DB8::1]:80", "other.example": ""} {
		got := ""
		if r := v.RouteFor(HostName(asked), "/a/x"); r != nil {
			got = r.Name
		}
		if got != want {
			t.Errorf("a request to %q goes by route %q, want %q", asked, got, want)
		}
	}
}
