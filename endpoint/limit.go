package endpoint

import (
	"math"
	"strconv"
	"strings"
)

// RateLimit is the limit in the head of an answer: how many requests per second the
// endpoint accepts from all hosts together. The zero value means that it names none.
type RateLimit struct {
	Named      bool
	PerSecond  float64 // requests
	Unreadable string  // a limit that can't be parsed, quoted; empty: none
}

// decimalDigits are the characters of a decimal number. Other forms that strconv accepts,
// such as infinities and hexadecimal numbers, are not valid rates.
const decimalDigits = "0123456789."

// ParseLimit parses the values of the limit header. The lowest of several limits applies.
func ParseLimit(values []string) (s RateLimit) {
	for _, v := range values {
		v = strings.TrimSpace(v)
		n, err := strconv.ParseFloat(v, 64)
		if err != nil || math.IsInf(n, 0) || strings.Trim(v, decimalDigits) != "" {
			return RateLimit{Unreadable: strconv.Quote(v)}
		}
		if !s.Named || n < s.PerSecond {
			s = RateLimit{Named: true, PerSecond: n}
		}
	}
	return s
}
