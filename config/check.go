package config

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Default values of the document, in the units of their fields.
const (
	DefaultBodyBytes      = 4 << 20
	DefaultBodyReadMillis = 5000
	DefaultConcurrent     = 2048
	DefaultRetryShare     = 0.1
	DefaultMaxAttempts    = 4
	DefaultLeaseMillis    = 3000
	DefaultKeyKeepSeconds = 600
	DefaultResultKeep     = 4000
)

// Initial estimates of a pool's rates, until they are learned.
const (
	DefaultTokensPerSecond = 40_000
	DefaultStepMicros      = 700
	DefaultStepMicrosEach  = 20
)

func setInt(p *int, v int) {
	if *p == 0 {
		*p = v
	}
}

func (d *Document) setDefaults() {
	l := &d.Limits
	if l.BodyBytes == 0 {
		l.BodyBytes = DefaultBodyBytes
	}
	setInt(&l.BodyReadMillis, DefaultBodyReadMillis)
	setInt(&l.Concurrent, DefaultConcurrent)
	setInt(&l.MaxAttempts, DefaultMaxAttempts)
	if l.RetryShare == 0 {
		l.RetryShare = DefaultRetryShare
	}
	p := &d.Policy
	if p.Mode == "" {
		p.Mode = ModeOwner
	}
	if p.Forecast == "" {
		p.Forecast = ForecastMargin
	}
	if p.KeyScope == "" {
		p.KeyScope = KeysRegion
	}
	setInt(&p.LeaseMillis, DefaultLeaseMillis)
	setInt(&p.KeyKeepSeconds, DefaultKeyKeepSeconds)
	if d.Weights == (Weights{}) {
		d.Weights = Weights{Goodput: 1, WastedPrefill: 1}
	}
	if d.Targets.Objective == 0 {
		d.Targets.Objective = 0.95
	}
	for i := range d.Teams {
		setInt(&d.Teams[i].Weight, 1)
	}
	for i := range d.Pools {
		d.Pools[i].setDefaults()
	}
	for i := range d.Endpoints {
		if d.Endpoints[i].Role == Prefill {
			setInt(&d.Endpoints[i].ResultKeepMillis, DefaultResultKeep)
		}
	}
}

func (p *Pool) setDefaults() {
	setInt(&p.ResultKeepMillis, DefaultResultKeep)
	setInt(&p.TokensPerPiece, 1)
	setInt(&p.StepMicros, DefaultStepMicros)
	setInt(&p.StepMicrosEach, DefaultStepMicrosEach)
	if p.TokensPerSecond == 0 {
		p.TokensPerSecond = DefaultTokensPerSecond
	}
}

// checker collects the errors of a document.
type checker struct {
	errs     FieldErrors
	fits     bool        // what can be brought into its range is
	adjusted FieldErrors // what was
}

func index(field string, i int) string { return field + "[" + strconv.Itoa(i) + "]" }

func (c *checker) fail(field, value, cause string) {
	c.errs = append(c.errs, &FieldError{Field: field, Value: value, Cause: cause})
}

// maxTextLen bounds a name, in bytes.
const maxTextLen = 256

// maxQuoted is how much of a longer name an error shows, in bytes.
const maxQuoted = 63

// text checks a name. It may be any printable text, as operators and model hubs choose them: "open-weights/answer-120b".
func (c *checker) text(field, v string) {
	switch {
	case v == "":
		c.fail(field, `""`, "must be set")
	case len(v) > maxTextLen:
		c.fail(field, strconv.Quote(v[:maxQuoted])+"...", "want at most 256 bytes")
	case !utf8.ValidString(v) || strings.ContainsFunc(v, unicode.IsControl):
		c.fail(field, strconv.Quote(v), "want printable text")
	}
}

func (c *checker) address(field, v string) {
	if cause := checkAddress(v); cause != "" {
		c.fail(field, strconv.Quote(v), cause)
	}
}

// within checks that a number is in a range. A document that is fitted gets the nearest number that is.
func within[N ~int | ~int64 | ~float64](c *checker, field string, v *N, lo, hi float64) {
	x := float64(*v)
	if x >= lo && x <= hi {
		return
	}
	e := &FieldError{Field: field, Value: fmt.Sprint(*v), Cause: fmt.Sprintf("want %v to %v", lo, hi)}
	if !c.fits {
		c.errs = append(c.errs, e)
		return
	}
	c.adjusted = append(c.adjusted, e)
	*v = N(lo)
	if x > hi {
		*v = N(hi)
	}
}

// peerAddress checks an address to connect to.
func (c *checker) peerAddress(field, v string) {
	c.address(field, v)
	if strings.HasSuffix(v, ":0") {
		c.fail(field, strconv.Quote(v), "want a port")
	}
}

func (c *checker) oneOf(field, v string, allowed ...string) {
	if !slices.Contains(allowed, v) {
		c.fail(field, strconv.Quote(v), "want one of "+strings.Join(allowed, ", "))
	}
}

func (c *checker) selector(field, v string) {
	if _, err := ParseSelector(v); err != nil {
		c.fail(field, strconv.Quote(v), err.Error())
	}
}

// unique checks that a value was not seen before.
func (c *checker) unique(seen map[string]bool, field, v string) {
	if seen[v] {
		c.fail(field, strconv.Quote(v), "is used twice")
	}
	seen[v] = true
}

func (d *Document) check() FieldErrors {
	c := new(checker)
	d.checkWith(c)
	return c.errs
}

func (d *Document) checkWith(c *checker) {
	domains := c.domains(d.Domains)
	models := c.models(d.Models)
	c.endpoints(d.Endpoints, domains, models)
	pools := c.pools(d.Pools)
	c.routes(d.Routes, pools, d.Domains)
	c.teams(d.Teams, d.Domains)
	within(c, "targets.ttft_ms", &d.Targets.TTFTMillis, 1, 600_000)
	within(c, "targets.tpot_ms", &d.Targets.TPOTMillis, 1, 60_000)
	within(c, "targets.objective", &d.Targets.Objective, 0.01, 0.99999)
	within(c, "weights.goodput", &d.Weights.Goodput, 0, 1000)
	within(c, "weights.wasted_prefill", &d.Weights.WastedPrefill, 0, 1000)
	c.limits(&d.Limits)
	c.policy(&d.Policy)
}

// pathRoute checks a route that is selected by host and path.
func (c *checker) pathRoute(f string, r *Route, pools map[string]bool) {
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		c.fail(f+".path_prefix", strconv.Quote(r.PathPrefix), "want a path that begins and ends with a slash")
	}
	if len(r.Pools) == 0 {
		c.fail(f+".pools", "", "want at least one")
	}
	c.dropUnknownPools(f+".pools", r, pools)
	for i := range r.Pools {
		s := &r.Pools[i]
		p := index(f+".pools", i)
		if !pools[s.Pool] {
			c.fail(p+".pool", strconv.Quote(s.Pool), "is not among pools")
		}
		within(c, p+".weight", &s.Weight, 0, 1e6)
	}
	within(c, f+".timeout_ms", &r.TimeoutMillis, 0, 86_400_000)
	within(c, f+".target_ms", &r.TargetMillis, 0, 600_000)
	within(c, f+".piece_ms", &r.PieceMillis, 0, 600_000)
	within(c, f+".max_attempts", &r.MaxAttempts, 0, 20)
}

// dropUnknownPools leaves out the unknown pools of a route that is fitted, if it has known ones as well.
func (c *checker) dropUnknownPools(field string, r *Route, pools map[string]bool) {
	unknown := func(s PoolShare) bool { return !pools[s.Pool] }
	if !c.fits || !slices.ContainsFunc(r.Pools, func(s PoolShare) bool { return pools[s.Pool] }) {
		return
	}
	for _, s := range r.Pools {
		if unknown(s) {
			c.adjusted = append(c.adjusted, &FieldError{Field: field, Value: strconv.Quote(s.Pool), Cause: "is not among pools"})
		}
	}
	r.Pools = slices.DeleteFunc(r.Pools, unknown)
}

func (c *checker) routes(rows []Route, pools map[string]bool, domains []Domain) {
	seen := map[string]bool{}
	for i := range rows {
		r := &rows[i]
		f := index("routes", i)
		c.text(f+".name", r.Name)
		c.unique(seen, f+".name", r.Name)
		within(c, f+".priority", &r.Priority, 0, 9)
		c.regions(f+".regions", &r.Regions, domains)
		if r.PathPrefix != "" || r.Host != "" {
			c.pathRoute(f, r, pools)
			continue
		}
		c.selector(f+".requests", r.Requests)
		if r.Service != "" {
			c.selector(f+".service", r.Service)
			if r.Prefill != "" || r.Decode != "" {
				c.fail(f+".service", strconv.Quote(r.Service), "can't be combined with prefill or decode")
			}
			continue
		}
		c.selector(f+".prefill", r.Prefill)
		c.selector(f+".decode", r.Decode)
	}
}

func (c *checker) limits(l *Limits) {
	within(c, "limits.body_bytes", &l.BodyBytes, 1, 1<<30)
	within(c, "limits.body_read_ms", &l.BodyReadMillis, 1, 600_000)
	within(c, "limits.concurrent_requests", &l.Concurrent, 1, 1e6)
	within(c, "limits.retry_share", &l.RetryShare, 0, 10)
	within(c, "limits.max_attempts", &l.MaxAttempts, 1, 20)
}

func (c *checker) policy(p *Policy) {
	c.oneOf("policy.mode", string(p.Mode), string(ModeOwner), string(ModeLeastLoad), string(ModeFixedShare),
		string(ModeDispatcher), string(ModeRandom), string(ModeRoundRobin), string(ModeTwoChoices))
	c.oneOf("policy.forecast", string(p.Forecast), string(ForecastHold), string(ForecastPlain), string(ForecastMargin))
	if p.MarginSD != nil {
		within(c, "policy.margin_sd", p.MarginSD, -4, 4)
	}
	within(c, "policy.lease_ms", &p.LeaseMillis, 100, 600_000)
	c.oneOf("policy.key_scope", string(p.KeyScope), string(KeysRegion), string(KeysDomain))
	within(c, "policy.key_keep_s", &p.KeyKeepSeconds, 1, 86_400)
}
