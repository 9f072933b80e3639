package endpoint

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Notice is what the head of an answer says of its endpoint, besides the answer itself. The zero
// value says nothing.
type Notice struct {
	Limit Said
	// Certain is set where the answer is surely one to the call. Only then does it take back a
	// limit that it doesn't name.
	Certain bool
	Leaving bool // the endpoint is about to end
	// Rest is for how long the endpoint wants no request of this host; 0: it asks for no rest.
	Rest           time.Duration
	UnreadableRest string // a rest that was asked for and can't be read, quoted; empty: none
}

// MostRest bounds the rest that an endpoint is given.
const MostRest = time.Hour

// ReadRest reads for how long an endpoint that turned a request away wants no other one. Other
// answers ask for none. Of several values the longest holds. A date counts from that of the answer.
func (n *Notice) ReadRest(status int, h http.Header) {
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return
	}
	for _, v := range h.Values("Retry-After") {
		rest, ok := readRest(strings.TrimSpace(v), h.Get("Date"))
		if !ok {
			n.UnreadableRest = strconv.Quote(v)
			continue
		}
		n.Rest = max(n.Rest, rest)
	}
}

// readRest reads a time in seconds, which may have a fraction, or a date.
func readRest(v, date string) (time.Duration, bool) {
	if strings.Trim(v, decimalDigits) == "" {
		seconds, err := strconv.ParseFloat(v, 64)
		return time.Duration(min(seconds, MostRest.Seconds()) * float64(time.Second)), err == nil
	}
	until, err := http.ParseTime(v)
	if err != nil {
		return 0, false
	}
	from, err := http.ParseTime(date)
	return min(max(until.Sub(from), 0), MostRest), err == nil
}
