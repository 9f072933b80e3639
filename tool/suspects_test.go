package tool

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/embercove/embercove/node"
	"github.com/embercove/embercove/request"
)

// TestSuspects lists and clears requests at a stand-in for a host's admin interface, and
// checks the output and exit codes, also for a refused clear and wrong usage.
func TestSuspects(t *testing.T) {
	f := request.FingerprintOf("t", "h", "POST", "/x", nil).String()
	var cleared string
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+node.PathSuspects, func(w http.ResponseWriter, _ *http.Request) {
		w.Write([]byte(`[{"fingerprint":"` + f + `","stage":"running","team":"press","verdict":"blamed","ends":3,"endpoint":"e-1","seen_by":"h1","age_s":5},{"fingerprint":"` + f + `","part":"5c1e","with":["91bd"],"requests":3,"stage":"running","verdict":"blamed","ends":4}]`))
	})
	mux.HandleFunc("POST "+node.PathSuspects, func(w http.ResponseWriter, q *http.Request) {
		if cleared != "" {
			http.Error(w, "nothing speaks against it", http.StatusNotFound)
			return
		}
		cleared = q.URL.Query().Get("fingerprint")
	})
	host := httptest.NewServer(mux)
	defer host.Close()
	admin := strings.TrimPrefix(host.URL, "http://")
	cases := []struct {
		args []string
		code int
		want string
	}{
		{[]string{"suspects", "-admin", admin}, ExitOK, "blamed"},
		{[]string{"suspects", "-admin", admin}, ExitOK, "5c1e+91bd"},
		{[]string{"suspects", "-admin", admin, "-clear", f}, ExitOK, "cleared at"},
		{[]string{"suspects", "-admin", admin, "-clear", f}, ExitNoHost, "nothing speaks against it"},
		{[]string{"suspects", "-admin", admin, "-clear", "zz"}, ExitUsage, `-clear: fingerprint "zz": want 32 hex digits`},
		{[]string{"suspects"}, ExitUsage, "-admin must name"},
	}
	for _, tc := range cases {
		var out, errOut bytes.Buffer
		if code := Main(tc.args, &out, &errOut); code != tc.code || !strings.Contains(out.String()+errOut.String(), tc.want) {
			t.Errorf("%v: code %d, want %d, and %q in\n%s%s", tc.args, code, tc.code, tc.want, &out, &errOut)
		}
	}
	if cleared != f {
		t.Errorf("cleared %q, want %q", cleared, f)
	}
}
