package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strconv"
)

// Team is a customer of the platform.
type Team struct {
	Name          string            `json:"name"`
	Weight        int               `json:"weight"`         // share of a contended queue; 0 means 1
	MaxConcurrent int               `json:"max_concurrent"` // on each entry host; 0: no limit
	Labels        map[string]string `json:"labels"`
	// KeysSHA256 are the digests of the team's keys, in hex. A request with one of the
	// keys belongs to the team. Callers of a team without keys name the team. The keys
	// themselves never appear in a document, log or message.
	KeysSHA256 []string `json:"keys_sha256"`
	// Priority overrides the priority of routes; nil: the route's.
	Priority *int `json:"priority,omitempty"`

	// Regions restrict the team's requests as those of a route do. If both are set, both apply.
	Regions []string `json:"regions,omitempty"`

	// Quota bounds the team's requests to all hosts together.
	Quota Quota `json:"quota"`
}

// Quota bounds a team's use: in any period, the rate times its length plus the burst.
type Quota struct {
	Unit  QuotaUnit `json:"unit"`
	Rate  float64   `json:"rate"`  // units a second; 0: no limit
	Burst float64   `json:"burst"` // units
	// PlainTokens is the cost of a request that states no tokens.
	PlainTokens int `json:"plain_tokens"`
}

// QuotaUnit is what a quota counts.
type QuotaUnit string

// The units of quotas.
const (
	QuotaRequests QuotaUnit = "requests" // also the default
	QuotaTokens   QuotaUnit = "tokens"   // of prompt and answer together
)

// maxRequestTokens is the maximum number of tokens counted for one request, so that sums don't overflow.
const maxRequestTokens = 1 << 30

// Cost returns the cost of a request from the tokens of its prompt and the maximum tokens of its
// answer. If their sum is below 1, they count as not stated.
func (q *Quota) Cost(prompt, answer int) float64 {
	if q.Unit != QuotaTokens {
		return 1
	}
	n := min(max(0, prompt), maxRequestTokens) + min(max(0, answer), maxRequestTokens)
	if n > 0 {
		return float64(min(n, maxRequestTokens))
	}
	return float64(max(1, q.PlainTokens))
}

// indexKeys indexes the keys of a team, which have been checked.
func (v *View) indexKeys(t *Team) {
	for _, key := range t.KeysSHA256 {
		var sum [sha256.Size]byte
		_, _ = hex.Decode(sum[:], []byte(key))
		v.teamByKey[sum] = t
	}
}

// HasKeys reports whether any team has keys, so that callers need one. A team that was left out of the document may have some.
func (v *View) HasKeys() bool { return len(v.teamByKey) > 0 || v.Doc.Omitted.Teams > 0 }

// TeamOfKey returns the team that holds a key, or nil.
func (v *View) TeamOfKey(key string) *Team { return v.teamByKey[sha256.Sum256([]byte(key))] }

// KeyDigest returns the digest of a key as it appears in a document.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func (c *checker) teams(rows []Team, domains []Domain) {
	seen, holders := map[string]bool{}, map[string]string{}
	for i := range rows {
		r := &rows[i]
		f := index("teams", i)
		c.text(f+".name", r.Name)
		c.unique(seen, f+".name", r.Name)
		within(c, f+".weight", &r.Weight, 1, 1e6)
		within(c, f+".max_concurrent", &r.MaxConcurrent, 0, 1e6)
		if r.Priority != nil {
			within(c, f+".priority", r.Priority, 0, 9)
		}
		c.regions(f+".regions", &r.Regions, domains)
		c.keys(holders, f+".keys_sha256", r)
		c.quota(f+".quota", &r.Quota)
	}
}

// keys checks a team's keys. holders maps the keys checked so far to their teams.
func (c *checker) keys(holders map[string]string, field string, t *Team) {
	c.dropTakenKeys(holders, field, t)
	for i, key := range t.KeysSHA256 {
		f := index(field, i)
		b, err := hex.DecodeString(key)
		if err != nil || len(b) != sha256.Size {
			// The value is not shown, because it may be a key pasted by mistake.
			c.fail(f, "", "want 64 hex digits, the SHA-256 of a key")
			continue
		}
		if holder, taken := holders[string(b)]; taken {
			c.fail(f, strconv.Quote(key), "is a key of team "+holder+" already")
		}
		holders[string(b)] = t.Name
	}
}

// dropTakenKeys leaves out the keys of a team that is fitted which another one holds already.
func (c *checker) dropTakenKeys(holders map[string]string, field string, t *Team) {
	if !c.fits {
		return
	}
	t.KeysSHA256 = slices.DeleteFunc(t.KeysSHA256, func(key string) bool {
		b, _ := hex.DecodeString(key)
		holder, taken := holders[string(b)]
		if taken {
			c.adjusted = append(c.adjusted, &FieldError{Field: field, Value: strconv.Quote(key), Cause: "is a key of team " + holder + " already"})
		}
		return taken
	})
}

func (c *checker) quota(field string, q *Quota) {
	c.oneOf(field+".unit", string(q.Unit), "", string(QuotaRequests), string(QuotaTokens))
	within(c, field+".rate", &q.Rate, 0, 1e12)
	within(c, field+".burst", &q.Burst, 0, 1e12)
	within(c, field+".plain_tokens", &q.PlainTokens, 0, maxRequestTokens)
	if q.Rate == 0 && q.Burst > 0 {
		c.fail(field+".burst", fmt.Sprint(q.Burst), "needs a rate")
	}
}
