package endpoint

import (
	"net/http"
	"testing"
	"time"
)

// TestReadRest parses valid and invalid backoffs, and answers that ask for none.
func TestReadRest(t *testing.T) {
	const noon = "Thu, 03 Dec 2026 12:00:00 GMT"
	for _, tc := range []struct {
		name       string
		status     int
		values     []string
		date       string
		backoff    time.Duration
		unreadable string
	}{
		{"none", 503, nil, "", 0, ""},
		{"seconds", 503, []string{"3"}, "", 3 * time.Second, ""},
		{"a fraction", 503, []string{" 0.25 "}, "", 250 * time.Millisecond, ""},
		{"none left", 503, []string{"0"}, "", 0, ""},
		{"too many requests", 429, []string{"3"}, "", 3 * time.Second, ""},
		{"another failure", 500, []string{"3"}, "", 0, ""},
		{"a success", 200, []string{"3"}, "", 0, ""},
		{"two values", 503, []string{"3", "1"}, "", 3 * time.Second, ""},
		{"hours", 503, []string{"86400"}, "", MaxBackoff, ""},
		{"a very long number", 503, []string{"99999999999999999999999999"}, "", MaxBackoff, ""},
		{"a date", 503, []string{"Thu, 03 Dec 2026 12:00:05 GMT"}, noon, 5 * time.Second, ""},
		{"a date that is past", 503, []string{"Thu, 03 Dec 2026 11:59:59 GMT"}, noon, 0, ""},
		{"a date far off", 503, []string{"Fri, 04 Dec 2026 12:00:00 GMT"}, noon, MaxBackoff, ""},
		{"a date in an answer without one", 503, []string{noon}, "", 0, `"` + noon + `"`},
		{"negative", 503, []string{"-3"}, "", 0, `"-3"`},
		{"no number", 503, []string{"soon"}, "", 0, `"soon"`},
		{"empty", 503, []string{""}, "", 0, `""`},
		{"not finite", 503, []string{"Inf"}, "", 0, `"Inf"`},
		{"a unit", 503, []string{"3s"}, "", 0, `"3s"`},
		{"one of two can be read", 503, []string{"x", "2"}, "", 2 * time.Second, `"x"`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := http.Header{"Retry-After": tc.values}
			if tc.date != "" {
				h.Set("Date", tc.date)
			}
			var n Notice
			n.ParseBackoff(tc.status, h)
			if n.Backoff != tc.backoff || n.UnreadableBackoff != tc.unreadable {
				t.Errorf("%v, unreadable %q; want %v, unreadable %q", n.Backoff, n.UnreadableBackoff, tc.backoff, tc.unreadable)
			}
		})
	}
}
