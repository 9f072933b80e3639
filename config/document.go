// Package config defines what operators write: the configuration document
// that the platform publishes, and the settings of one process.
//
// Both are JSON with comments. Parsing is a pure function of the bytes, so
// every host accepts or rejects a revision alike. The package reads no files
// and talks to no one.
package config

import "time"

// Document is one revision of the published configuration.
type Document struct {
	Domains   []Domain   `json:"failure_domains"`
	Models    []Model    `json:"models"`
	Pools     []Pool     `json:"pools"`
	Endpoints []Endpoint `json:"endpoints"`
	Routes    []Route    `json:"routes"`
	Teams     []Team     `json:"teams"`
	Targets   Targets    `json:"targets"`
	Weights   Weights    `json:"weights"`
	Limits    Limits     `json:"limits"`
	Policy    Policy     `json:"policy"`
}

// Domain is a failure domain and the region it lies in.
type Domain struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	// LinkBytesPerSecond is the rate of the link into the domain that
	// transfers from other domains share. 0: no transfer crosses it.
	LinkBytesPerSecond int64 `json:"link_bytes_per_second"`
}

// Model is a model that requests may name, with its adapters.
type Model struct {
	Name            string   `json:"name"`
	Version         string   `json:"version"`
	Adapters        []string `json:"adapters"`
	MaxTokens       int      `json:"max_tokens"` // prompt and answer together
	KVBytesPerToken int64    `json:"kv_bytes_per_token"`
}

// Role says what an endpoint does.
type Role string

// The roles of endpoints.
const (
	Prefill Role = "prefill"
	Decode  Role = "decode"
	Service Role = "service"
)

// Endpoint is a model runner or an application runner.
type Endpoint struct {
	Name    string            `json:"name"`
	Address string            `json:"address"` // IP:port
	Domain  string            `json:"failure_domain"`
	Role    Role              `json:"role"`
	Labels  map[string]string `json:"labels"`
	Model   string            `json:"model"`
	// Version is the model version that orders bring the runner to; empty
	// means the model's own version.
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`

	MemoryTokens        int     `json:"memory_tokens"`         // decode: KV memory
	Slots               int     `json:"slots"`                 // decode, service: requests at once
	TokensPerSecond     float64 `json:"tokens_per_second"`     // prefill: rate of reading
	StepMicros          int     `json:"step_micros"`           // decode: time of a step with one request
	StepMicrosEach      int     `json:"step_micros_each"`      // decode: added by each further request
	LinkBytesPerSecond  int64   `json:"link_bytes_per_second"` // decode: rate of the link into it
	ResultKeepMillis    int     `json:"result_keep_ms"`        // prefill: how long an exported result is kept
	ChecksFence         bool    `json:"checks_fence"`
	Leaving             bool    `json:"leaving"`
	NotRepeatableAllows bool    `json:"takes_not_repeatable"` // service: may be given calls that may not be repeated

	// Pool names the pool of an endpoint that registered itself; the pool
	// gives the sizes that the endpoint doesn't state.
	Pool string `json:"pool"`
	// GrowsMemory says that an answer takes decode memory as it is written,
	// instead of all that it may come to from the start.
	GrowsMemory bool `json:"grows_memory"`
	// TokensPerPiece is how many tokens one piece of a stream holds; 0 means 1.
	TokensPerPiece int `json:"tokens_per_piece"`
	// Registered marks an endpoint of a roster. Its state is what it says of
	// itself, so it is given no orders to reach the state of a revision.
	Registered bool `json:"-"`
	// Lapsed is when the registration vanished although nobody can tell that
	// the endpoint left; zero: it stands. It is a time of this process: what
	// another host sent is replaced when it is taken in.
	Lapsed time.Time `json:"-"`

	// Born is when the endpoint's process started, in ms since 1970 by the endpoint's own
	// clock; 0: unknown. With the name it tells one process from another: one that starts
	// again under its name holds nothing of before. No clock of a host is compared with it.
	Born int64 `json:"-"`

	// ColdPerSecond is how many requests a second the endpoint bears while it is cold;
	// 0: as many as ever.
	ColdPerSecond float64 `json:"cold_per_s,omitempty"`
	// ColdStartMillis is how long it stays cold after a start.
	ColdStartMillis int `json:"cold_start_ms,omitempty"`
	// ColdMillis is for how long it is still cold by its registration, from when that
	// was told.
	ColdMillis int `json:"-"`
	// ColdUntil is the same as a time of this process; what another host sent is
	// replaced when it is taken in.
	ColdUntil time.Time `json:"-"`
}

// LapsedKept is how long an endpoint is used without its registration. One that
// lives registers again within two seconds of the platform's return.
const LapsedKept = 2500 * time.Millisecond

// Expired reports whether the endpoint has been without a registration for so
// long that it counts as gone.
func (e *Endpoint) Expired(now time.Time) bool {
	return !e.Lapsed.IsZero() && now.Sub(e.Lapsed) > LapsedKept
}

// StartedBefore reports whether e tells of an earlier start than another registration of
// the same name. Such a word is late, whatever brought it: it is never believed.
func (e *Endpoint) StartedBefore(other *Endpoint) bool {
	return e.Born != 0 && other.Born != 0 && e.Born < other.Born
}

// PieceTokens returns how many tokens one piece of the endpoint's streams holds.
func (e *Endpoint) PieceTokens() int { return max(1, e.TokensPerPiece) }

// Pool states what endpoints that register themselves under its name have in
// common. A pool without memory is one of plain services.
type Pool struct {
	Name                string  `json:"name"`
	MemoryTokens        int     `json:"memory_tokens"`
	Slots               int     `json:"slots"`
	LinkBytesPerSecond  int64   `json:"link_bytes_per_second"`
	ResultKeepMillis    int     `json:"result_keep_ms"`
	TokensPerPiece      int     `json:"tokens_per_piece"`
	RoleSwitchMillis    int     `json:"role_switch_ms"`    // what a change of role takes beyond running work
	Connections         int     `json:"connections"`       // that one endpoint takes from all hosts together; 0: any number
	TokensPerSecond     float64 `json:"tokens_per_second"` // first guess; the true rate is learned
	StepMicros          int     `json:"step_micros"`       // first guess
	StepMicrosEach      int     `json:"step_micros_each"`  // first guess
	NotRepeatableAllows bool    `json:"takes_not_repeatable"`
	ColdPerSecond       float64 `json:"cold_per_s,omitempty"`    // requests that a cold endpoint bears; 0: as many as ever
	ColdStartMillis     int     `json:"cold_start_ms,omitempty"` // for which an endpoint is cold after a start
	Copies              bool    `json:"copies,omitempty"`        // endpoints keep copies of the memory of each other's answers
	Moves               bool    `json:"moves,omitempty"`         // an answer that runs can be moved to another endpoint
}

// Engines reports whether the pool's endpoints are model runners.
func (p *Pool) Engines() bool { return p.MemoryTokens > 0 }

// Route states which requests may go to which endpoints. The first route
// whose request selector matches is taken.
type Route struct {
	Name     string `json:"name"`
	Requests string `json:"requests"` // selector over request labels
	Prefill  string `json:"prefill"`  // selector over endpoint labels
	Decode   string `json:"decode"`
	Service  string `json:"service"`
	Priority int    `json:"priority"` // 0 is most urgent; a request may lower itself

	// Host and PathPrefix choose the route by the call's own host and path:
	// the longest prefix wins. Such a route names pools instead of selectors.
	Host       string      `json:"host"`
	PathPrefix string      `json:"path_prefix"`
	Pools      []PoolShare `json:"pools"`

	Public        bool `json:"public"`         // callers need no key, also where teams have keys
	NotRepeatable bool `json:"not_repeatable"` // a request runs at most once
	Streams       bool `json:"streams"`        // the answer is a series of pieces
	Resumable     bool `json:"resumable"`      // a broken stream may go on at another endpoint
	TimeoutMillis int  `json:"timeout_ms"`     // longest that a request is held; 0: no limit
	TargetMillis  int  `json:"target_ms"`      // to the answer, or to a stream's first piece; 0: targets.ttft_ms
	PieceMillis   int  `json:"piece_ms"`       // longest pause between pieces that is in time
	MaxAttempts   int  `json:"max_attempts"`   // endpoints that one request may run on; 0: limits.max_attempts

	// Regions are those in which the route's requests may be served, cached and stored;
	// none: any.
	Regions []string `json:"regions,omitempty"`
}

// PoolShare is the part of a route's requests that goes to a pool.
type PoolShare struct {
	Pool   string `json:"pool"`
	Weight int    `json:"weight"`
}

// Timeout returns the longest that a request is held, 0 for no limit.
func (r *Route) Timeout() time.Duration { return time.Duration(r.TimeoutMillis) * time.Millisecond }

// Repeatable reports whether the route's requests may run more than once.
func (r *Route) Repeatable() bool { return !r.NotRepeatable && (!r.Streams || r.Resumable) }

// Targets are the service levels that goodput is counted by.
type Targets struct {
	TTFTMillis int     `json:"ttft_ms"` // time to first token
	TPOTMillis int     `json:"tpot_ms"` // time per output token after the first
	Objective  float64 `json:"objective"`
}

// TTFT returns the target time to first token.
func (t Targets) TTFT() time.Duration { return time.Duration(t.TTFTMillis) * time.Millisecond }

// TPOT returns the target time per output token.
func (t Targets) TPOT() time.Duration { return time.Duration(t.TPOTMillis) * time.Millisecond }

// Weights state what a record keeper minds more. Only their ratio matters.
type Weights struct {
	Goodput       float64 `json:"goodput"`
	WastedPrefill float64 `json:"wasted_prefill"`
}

// Limits bound what callers may ask of one entry host.
type Limits struct {
	BodyBytes      int64   `json:"body_bytes"`
	BodyReadMillis int     `json:"body_read_ms"`
	Concurrent     int     `json:"concurrent_requests"`
	RetryShare     float64 `json:"retry_share"` // retries for each recent success
	MaxAttempts    int     `json:"max_attempts"`
}

// Policy chooses how decisions are made. Everything but Owner is a baseline
// to measure against.
type Policy struct {
	Mode PolicyMode `json:"mode"`
	// Forecast chooses how decode memory is reserved: ForecastHold,
	// ForecastPlain or ForecastMargin.
	Forecast Forecast `json:"forecast"`
	// MarginSD is how many standard deviations of the forecast reservations
	// keep free; below 0 they overbook. Left out, owners learn it, towards
	// a share of full engines that the weights set.
	MarginSD *float64 `json:"margin_sd,omitempty"`
	// LeaseMillis is how long a reservation outlives its holder's last word.
	LeaseMillis int `json:"lease_ms"`
	// KeyScope says where an idempotency key's home is looked for.
	KeyScope KeyScope `json:"key_scope"`
	// KeyKeepSeconds is how long a key is remembered.
	KeyKeepSeconds int `json:"key_keep_s"`
}

// PolicyMode is a way to decide.
type PolicyMode string

// The ways to decide. ModeLagged, ModeShare and ModeDispatcher are the ways
// A, B and C of docs/DESIGN.md.
const (
	ModeOwner      PolicyMode = "owner"
	ModeLagged     PolicyMode = "least_load"
	ModeShare      PolicyMode = "fixed_share"
	ModeDispatcher PolicyMode = "dispatcher"
	ModeRandom     PolicyMode = "random"
	ModeRoundRobin PolicyMode = "round_robin"
	ModeTwoChoices PolicyMode = "two_choices"
)

// Reserves reports whether the mode reserves decode memory before prefill.
func (m PolicyMode) Reserves() bool {
	return m == ModeOwner || m == ModeShare || m == ModeDispatcher
}

// Single reports whether the mode has owners that don't follow from endpoints.
func (m PolicyMode) Single() bool { return m == ModeShare || m == ModeDispatcher }

// Forecast is a way to reserve decode memory for the moment it is needed.
type Forecast string

// The ways to reserve.
const (
	ForecastHold   Forecast = "hold"   // from now on
	ForecastPlain  Forecast = "plain"  // for the moment the prefill ends
	ForecastMargin Forecast = "margin" // by the chances of ending sooner or later, with a margin
)

// KeyScope says which failure domains share idempotency keys.
type KeyScope string

// The scopes of idempotency keys.
const (
	KeysRegion KeyScope = "region" // each key has one home domain in the region
	KeysDomain KeyScope = "domain" // each domain keeps its own keys
)
