// Package config defines what operators write: the configuration document
// that the platform publishes, and the settings of one process.
//
// Both are JSON with comments. Parsing is a pure function of the bytes, so all
// hosts agree on whether a revision is valid. The package does no I/O.
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
	// Omitted counts the rows that the platform has accepted and this document can't hold.
	Omitted Omitted `json:"omitted,omitzero"`
	// OmittedPaths are the paths of the routes among them: no other route takes their requests.
	OmittedPaths []RoutePath `json:"omitted_paths,omitempty"`
}

// Domain is a failure domain and its region.
type Domain struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	// LinkBytesPerSecond is the bandwidth of the link into the domain, shared by
	// transfers from other domains. 0: no transfers into the domain.
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

// Role is the kind of work that an endpoint does.
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
	// Version is the model version that the runner is ordered to run; empty
	// means the version of the model's entry.
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	// Software is the version of the endpoint's software, by its registration. An answer that one
	// version began goes on at no other one. Endpoints that state none run the same.
	Software string `json:"software,omitempty"`

	MemoryTokens        int     `json:"memory_tokens"`         // decode: capacity of the KV cache
	Slots               int     `json:"slots"`                 // decode, service: concurrent requests
	TokensPerSecond     float64 `json:"tokens_per_second"`     // prefill: rate
	StepMicros          int     `json:"step_micros"`           // decode: time of a step with one request
	StepMicrosEach      int     `json:"step_micros_each"`      // decode: time added by each further request
	LinkBytesPerSecond  int64   `json:"link_bytes_per_second"` // decode: bandwidth of the link into it
	ResultKeepMillis    int     `json:"result_keep_ms"`        // prefill: how long an exported result is kept
	ChecksFence         bool    `json:"checks_fence"`
	Leaving             bool    `json:"leaving"`
	NotRepeatableAllows bool    `json:"takes_not_repeatable"` // service: accepts requests that must not be repeated

	// Pool names the pool of a self-registered endpoint. The pool provides the
	// sizes that the endpoint doesn't state.
	Pool string `json:"pool"`
	// GrowsMemory means that memory for an answer is allocated during decode,
	// instead of the maximum at the start.
	GrowsMemory bool `json:"grows_memory"`
	// TokensPerPiece is the number of tokens in one event of a stream; 0 means 1.
	TokensPerPiece int `json:"tokens_per_piece"`
	// Registered marks an endpoint of a roster. It determines its own state, so it
	// is not ordered into the state of a revision.
	Registered bool `json:"-"`
	// Lapsed is when the registration expired without a sign that the endpoint
	// left; zero: it is valid. It is a time of this process: the value sent by
	// another host is replaced on arrival.
	Lapsed time.Time `json:"-"`

	// Born is the start time of the endpoint's process in ms since 1970, by the endpoint's
	// own clock; 0: unknown. Together with the name it identifies a process: one that
	// starts again under the same name holds nothing of the previous one. It is never
	// compared with the clock of a host.
	Born int64 `json:"-"`

	// ColdPerSecond is the number of requests a second that the endpoint can handle while
	// it is cold; 0: no limit.
	ColdPerSecond float64 `json:"cold_per_s,omitempty"`
	// ColdStartMillis is how long it stays cold after a start.
	ColdStartMillis int `json:"cold_start_ms,omitempty"`
	// ColdMillis is the remaining cold time according to its registration, relative to
	// when that was sent.
	ColdMillis int `json:"-"`
	// ColdUntil is the same as a time of this process. The value sent by another host is
	// replaced on arrival.
	ColdUntil time.Time `json:"-"`
}

// ExpiryGrace is the grace period for which an endpoint stays in use after its registration
// expired. A live endpoint registers again within two seconds of the platform's return.
const ExpiryGrace = 2500 * time.Millisecond

// PastGrace reports whether the endpoint's registration expired so long ago that the endpoint
// counts as gone.
func (e *Endpoint) PastGrace(now time.Time) bool {
	return !e.Lapsed.IsZero() && now.Sub(e.Lapsed) > ExpiryGrace
}

// StartedBefore reports whether e has an earlier start time than another registration of the
// same name. If so it is outdated and is never used, wherever it came from.
func (e *Endpoint) StartedBefore(other *Endpoint) bool {
	return e.Born != 0 && other.Born != 0 && e.Born < other.Born
}

// TokensPerEvent returns the number of tokens in one event of the endpoint's streams.
func (e *Endpoint) TokensPerEvent() int { return max(1, e.TokensPerPiece) }

// Pool holds the common properties of the endpoints that register themselves under
// its name. A pool without memory is a pool of plain services.
type Pool struct {
	Name                string  `json:"name"`
	MemoryTokens        int     `json:"memory_tokens"`
	Slots               int     `json:"slots"`
	LinkBytesPerSecond  int64   `json:"link_bytes_per_second"`
	ResultKeepMillis    int     `json:"result_keep_ms"`
	TokensPerPiece      int     `json:"tokens_per_piece"`
	RoleSwitchMillis    int     `json:"role_switch_ms"`    // time of a role switch, after running work has ended
	Connections         int     `json:"connections"`       // per endpoint, from all hosts together; 0: no limit
	TokensPerSecond     float64 `json:"tokens_per_second"` // initial estimate; the actual rate is learned
	StepMicros          int     `json:"step_micros"`       // initial estimate
	StepMicrosEach      int     `json:"step_micros_each"`  // initial estimate
	NotRepeatableAllows bool    `json:"takes_not_repeatable"`
	ColdPerSecond       float64 `json:"cold_per_s,omitempty"`    // requests to a cold endpoint; 0: no limit
	ColdStartMillis     int     `json:"cold_start_ms,omitempty"` // time for which an endpoint is cold after a start
	Replicas            bool    `json:"copies,omitempty"`        // endpoints keep replicas of each other's running answers
	Transfers           bool    `json:"moves,omitempty"`         // a running answer can be transferred to another endpoint
}

// HasEngines reports whether the pool's endpoints are model runners.
func (p *Pool) HasEngines() bool { return p.MemoryTokens > 0 }

// Route maps requests to the endpoints that may serve them. The first route
// whose request selector matches is used.
type Route struct {
	Name     string `json:"name"`
	Requests string `json:"requests"` // selector over request labels
	Prefill  string `json:"prefill"`  // selector over endpoint labels
	Decode   string `json:"decode"`
	Service  string `json:"service"`
	Priority int    `json:"priority"` // 0 is most urgent; a request may lower its own priority

	// Host and PathPrefix select the route by the request's host and path; the
	// longest prefix wins. Such a route names pools instead of selectors.
	Host       string      `json:"host"`
	PathPrefix string      `json:"path_prefix"`
	Pools      []PoolShare `json:"pools"`

	Public        bool `json:"public"`         // callers need no key, even if teams have keys
	NotRepeatable bool `json:"not_repeatable"` // a request runs at most once
	Streams       bool `json:"streams"`        // the answer is a stream of events
	Resumable     bool `json:"resumable"`      // an interrupted stream may continue at another endpoint
	TimeoutMillis int  `json:"timeout_ms"`     // maximum time of a request; 0: no limit
	TargetMillis  int  `json:"target_ms"`      // to the answer, or to the first event of a stream; 0: targets.ttft_ms
	PieceMillis   int  `json:"piece_ms"`       // target for the longest pause between events
	MaxAttempts   int  `json:"max_attempts"`   // endpoints that may run one request; 0: limits.max_attempts

	// Regions are the regions in which the route's requests may be served, cached and
	// stored; empty: any.
	Regions []string `json:"regions,omitempty"`
}

// PoolShare is the share of a route's requests that goes to a pool.
type PoolShare struct {
	Pool   string `json:"pool"`
	Weight int    `json:"weight"`
}

// Timeout returns the maximum time of a request; 0: no limit.
func (r *Route) Timeout() time.Duration { return time.Duration(r.TimeoutMillis) * time.Millisecond }

// Repeatable reports whether the route's requests may run more than once.
func (r *Route) Repeatable() bool { return !r.NotRepeatable && (!r.Streams || r.Resumable) }

// Targets are the service levels by which goodput is measured.
type Targets struct {
	TTFTMillis int     `json:"ttft_ms"` // time to first token
	TPOTMillis int     `json:"tpot_ms"` // time per output token after the first
	Objective  float64 `json:"objective"`
}

// TTFT returns the target time to first token.
func (t Targets) TTFT() time.Duration { return time.Duration(t.TTFTMillis) * time.Millisecond }

// TPOT returns the target time per output token.
func (t Targets) TPOT() time.Duration { return time.Duration(t.TPOTMillis) * time.Millisecond }

// Weights state how much a deployment values goodput and avoiding wasted prefill. Only their
// ratio matters.
type Weights struct {
	Goodput       float64 `json:"goodput"`
	WastedPrefill float64 `json:"wasted_prefill"`
}

// Limits bound what callers may request from one entry host.
type Limits struct {
	BodyBytes      int64   `json:"body_bytes"`
	BodyReadMillis int     `json:"body_read_ms"`
	Concurrent     int     `json:"concurrent_requests"`
	RetryShare     float64 `json:"retry_share"` // retries per recent success
	MaxAttempts    int     `json:"max_attempts"`
}

// Policy selects how decisions are made. All modes but ModeOwner are baselines
// for comparison.
type Policy struct {
	Mode PolicyMode `json:"mode"`
	// Forecast selects how decode memory is reserved: ForecastHold,
	// ForecastPlain or ForecastMargin.
	Forecast Forecast `json:"forecast"`
	// MarginSD is the number of standard deviations of the forecast that
	// reservations keep free; a negative value overbooks. If it is not set, owners
	// learn a margin that leads to the share of full engines given by the weights.
	MarginSD *float64 `json:"margin_sd,omitempty"`
	// LeaseMillis is how long a reservation is valid after its holder's last message.
	LeaseMillis int `json:"lease_ms"`
	// KeyScope selects the failure domains that share idempotency keys.
	KeyScope KeyScope `json:"key_scope"`
	// KeyKeepSeconds is how long a key is remembered.
	KeyKeepSeconds int `json:"key_keep_s"`
}

// PolicyMode is a placement algorithm.
type PolicyMode string

// The placement algorithms. ModeLeastLoad, ModeFixedShare and ModeDispatcher are the
// baselines A, B and C of docs/DESIGN.md.
const (
	ModeOwner      PolicyMode = "owner"
	ModeLeastLoad  PolicyMode = "least_load"
	ModeFixedShare PolicyMode = "fixed_share"
	ModeDispatcher PolicyMode = "dispatcher"
	ModeRandom     PolicyMode = "random"
	ModeRoundRobin PolicyMode = "round_robin"
	ModeTwoChoices PolicyMode = "two_choices"
)

// Reserves reports whether the mode reserves decode memory before prefill.
func (m PolicyMode) Reserves() bool {
	return m == ModeOwner || m == ModeFixedShare || m == ModeDispatcher
}

// IgnoresEndpoint reports whether the mode's owners don't depend on the endpoint.
func (m PolicyMode) IgnoresEndpoint() bool { return m == ModeFixedShare || m == ModeDispatcher }

// Forecast is a method of reserving decode memory for the time it is needed.
type Forecast string

// The methods of reserving.
const (
	ForecastHold   Forecast = "hold"   // from now on
	ForecastPlain  Forecast = "plain"  // from the expected end of the prefill
	ForecastMargin Forecast = "margin" // by the distribution of expected ends, with a margin
)

// KeyScope selects which failure domains share idempotency keys.
type KeyScope string

// The scopes of idempotency keys.
const (
	KeysRegion KeyScope = "region" // each key has one home domain in the region
	KeysDomain KeyScope = "domain" // each domain keeps its own keys
)
