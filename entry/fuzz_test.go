package entry

import (
	"net/http"
	"testing"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/examples"
)

// FuzzBody checks that no body makes the parser panic or accept a call without a model, a
// prompt and a valid length.
func FuzzBody(f *testing.F) {
	f.Add([]byte(`{"model": "m", "prompt": "x", "max_tokens": 3, "stream": true}`), false)
	f.Add([]byte(`{"model": "m", "messages": [{"role": "user", "content": "x"}]}`), true)
	f.Add([]byte(`{"model": 3}`), false)
	f.Fuzz(func(t *testing.T, src []byte, chat bool) {
		b, err := ParseBody(src, chat)
		if err == nil && (b.Model == "" || b.Prompt == "" || *b.MaxTokens < 1) {
			t.Fatalf("accepted %q", src)
		}
	})
}

// FuzzHeaders does the same for the embercove headers.
func FuzzHeaders(f *testing.F) {
	v, err := config.NewView(1, examples.Domaskra)
	if err != nil {
		f.Fatal(err)
	}
	f.Add("press", "3", "100", "false", "a=b,c=d", "k", "5")
	f.Add("x", "-1", "x", "maybe", "=", "", "-")
	f.Fuzz(func(t *testing.T, team, prio, deadline, repeatable, labels, key, age string) {
		h := http.Header{HeaderTeam: {team}, HeaderPriority: {prio}, HeaderDeadline: {deadline}, HeaderRepeatable: {repeatable},
			HeaderLabels: {labels}, HeaderKey: {key}, HeaderKeyAge: {age}}
		out, refusal := parseHeaders(v, h)
		if refusal == nil && (out.team == nil || out.priority > maxPriority || len(out.key) > maxKeyLen) {
			t.Fatalf("accepted %v", h)
		}
	})
}
