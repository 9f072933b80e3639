package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
)

// Team is a customer of the platform.
type Team struct {
	Name          string            `json:"name"`
	Weight        int               `json:"weight"`         // share of a contended queue; 0 means 1
	MaxConcurrent int               `json:"max_concurrent"` // on each entry host; 0: no limit
	Labels        map[string]string `json:"labels"`
	// KeysSHA256 are the digests of the team's keys, in hex. A request that
	// carries one of them is the team's. A team without keys is named by its
	// callers; so the keys themselves stand in no document, log or message.
	KeysSHA256 []string `json:"keys_sha256"`
	// Priority goes before that of routes; nil: the route's.
	Priority *int `json:"priority,omitempty"`

	// Regions bind the team's requests as those of a route do; where both stand, both bind.
	Regions []string `json:"regions,omitempty"`

	// Quota bounds what the team may ask over all hosts together.
	Quota Quota `json:"quota"`
}

// Quota is how much a team may ask: in any span its rate times the span, and the
// burst on top.
type Quota struct {
	Unit  QuotaUnit `json:"unit"`
	Rate  float64   `json:"rate"`  // units a second; 0: no limit
	Burst float64   `json:"burst"` // units
	// PlainTokens is what a request counts as that states no tokens.
	PlainTokens int `json:"plain_tokens"`
}

// QuotaUnit is what a quota counts.
type QuotaUnit string

// The units of quotas.
const (
	QuotaRequests QuotaUnit = "requests" // also if left out
	QuotaTokens   QuotaUnit = "tokens"   // of prompt and answer together
)

// mostTokens bounds what one request may state, so that no sum overflows.
const mostTokens = 1 << 30

// Cost returns what a request counts as, by the tokens of its prompt and the most
// that its answer may have. Below 1 in all they count as not stated.
func (q *Quota) Cost(prompt, answer int) float64 {
	if q.Unit != QuotaTokens {
		return 1
	}
	n := min(max(0, prompt), mostTokens) + min(max(0, answer), mostTokens)
	if n > 0 {
		return float64(min(n, mostTokens))
	}
	return float64(max(1, q.PlainTokens))
}

// indexKeys enters the keys of a team, which have been checked.
func (v *View) indexKeys(t *Team) {
	for _, key := range t.KeysSHA256 {
		var sum [sha256.Size]byte
		_, _ = hex.Decode(sum[:], []byte(key))
		v.teamByKey[sum] = t
	}
}

// Keyed reports whether any team has keys, so that callers have to give one.
func (v *View) Keyed() bool { return len(v.teamByKey) > 0 }

// TeamOfKey returns the team that holds a key, or nil.
func (v *View) TeamOfKey(key string) *Team { return v.teamByKey[sha256.Sum256([]byte(key))] }

// KeyDigest returns what a document holds of a key.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func (c *checker) teams(rows []Team, domains []Domain) {
	seen, holders := map[string]bool{}, map[string]string{}
	for i, r := range rows {
		f := index("teams", i)
		c.name(f+".name", r.Name)
		c.unique(seen, f+".name", r.Name)
		c.within(f+".weight", float64(r.Weight), 1, 1e6)
		c.within(f+".max_concurrent", float64(r.MaxConcurrent), 0, 1e6)
		if r.Priority != nil {
			c.within(f+".priority", float64(*r.Priority), 0, 9)
		}
		c.regions(f+".regions", r.Regions, domains)
		c.keys(holders, f+".keys_sha256", r)
		c.quota(f+".quota", r.Quota)
	}
}

// keys checks a team's keys. holders names the team of each key so far.
func (c *checker) keys(holders map[string]string, field string, t Team) {
	for i, key := range t.KeysSHA256 {
		f := index(field, i)
		b, err := hex.DecodeString(key)
		if err != nil || len(b) != sha256.Size {
			// The value is not shown: it may be a key itself, pasted by mistake.
			c.fail(f, "", "want 64 hex digits, the SHA-256 of a key")
			continue
		}
		if holder, taken := holders[string(b)]; taken {
			c.fail(f, strconv.Quote(key), "is a key of team "+holder+" already")
		}
		holders[string(b)] = t.Name
	}
}

func (c *checker) quota(field string, q Quota) {
	c.oneOf(field+".unit", string(q.Unit), "", string(QuotaRequests), string(QuotaTokens))
	c.within(field+".rate", q.Rate, 0, 1e12)
	c.within(field+".burst", q.Burst, 0, 1e12)
	c.within(field+".plain_tokens", float64(q.PlainTokens), 0, mostTokens)
	if q.Rate == 0 && q.Burst > 0 {
		c.fail(field+".burst", fmt.Sprint(q.Burst), "stands without a rate")
	}
}
