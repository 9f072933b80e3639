package endpoint

import (
	"math"
	"strconv"
	"strings"
)

// Said is what the head of an answer says of how many requests a second its endpoint takes,
// from all hosts together. The zero value: it names no limit.
type Said struct {
	Named      bool
	PerSecond  float64 // requests
	Unreadable string  // what was named and can't be read, quoted; empty: nothing
}

// decimalDigits are the signs of a decimal number. Others that strconv takes, as of infinities
// and hexadecimal numbers, are no rate.
const decimalDigits = "0123456789."

// ReadLimit reads a limit from the values of its header. Of several the lowest one holds.
func ReadLimit(values []string) (s Said) {
	for _, v := range values {
		v = strings.TrimSpace(v)
		n, err := strconv.ParseFloat(v, 64)
		if err != nil || math.IsInf(n, 0) || strings.Trim(v, decimalDigits) != "" {
			return Said{Unreadable: strconv.Quote(v)}
		}
		if !s.Named || n < s.PerSecond {
			s = Said{Named: true, PerSecond: n}
		}
	}
	return s
}
