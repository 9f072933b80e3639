package endpoint

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Notice is what the head of an answer says about its endpoint. The zero value says
// nothing.
type Notice struct {
	Limit RateLimit
	// Whether the answer surely belongs to the call. Only then does an answer without a
	// limit cancel an earlier one.
	Authoritative bool
	Leaving       bool // the endpoint is about to stop
	// How long the endpoint wants no request from this host; 0: it asks for no backoff.
	Backoff           time.Duration
	UnreadableBackoff string // a backoff that can't be parsed, quoted; empty: none
}

// MaxBackoff bounds the backoff that an endpoint can ask for.
const MaxBackoff = time.Hour

// ParseBackoff parses the backoff that an endpoint asks for when it refuses a request. Other
// answers ask for none. The longest of several values applies. A date is relative to the
// date of the answer.
func (n *Notice) ParseBackoff(status int, h http.Header) {
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return
	}
	for _, v := range h.Values("Retry-After") {
		backoff, ok := parseBackoff(strings.TrimSpace(v), h.Get("Date"))
		if !ok {
			n.UnreadableBackoff = strconv.Quote(v)
			continue
		}
		n.Backoff = max(n.Backoff, backoff)
	}
}

// parseBackoff parses a time in seconds, which may have a fraction, or a date.
func parseBackoff(v, date string) (time.Duration, bool) {
	if strings.Trim(v, decimalDigits) == "" {
		seconds, err := strconv.ParseFloat(v, 64)
		return time.Duration(min(seconds, MaxBackoff.Seconds()) * float64(time.Second)), err == nil
	}
	until, err := http.ParseTime(v)
	if err != nil {
		return 0, false
	}
	from, err := http.ParseTime(date)
	return min(max(until.Sub(from), 0), MaxBackoff), err == nil
}
