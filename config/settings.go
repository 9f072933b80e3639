package config

import (
	"net/netip"
	"time"
)

// Settings are the start-up settings of one process. Everything else comes from the platform
// or from peers.
type Settings struct {
	Host    string `json:"host"`           // unique name of the entry host
	Domain  string `json:"failure_domain"` // the failure domain of the host
	Region  string `json:"region"`
	Callers string `json:"callers_address"` // IP:port of the caller listener
	Peers   string `json:"peers_address"`   // IP:port of the net/rpc listener
	// PeersAnnounced is the IP:port at which other hosts reach the net/rpc listener if that
	// differs, for example behind a proxy; empty: peers_address.
	PeersAnnounced string `json:"peers_announced"`

	Admin    string `json:"admin_address"` // IP:port of the admin listener
	Platform string `json:"platform_address"`
	Metrics  string `json:"metrics_address"` // IP:port that serves metrics too; empty: only the admin listener does
	// Seeds are peer addresses to contact before the platform's list is known.
	Seeds []string `json:"seeds"`

	HeartbeatMillis int    `json:"heartbeat_ms"`
	SuspectMillis   int    `json:"suspect_ms"` // silence after which a host counts as gone
	PollMillis      int    `json:"poll_ms"`    // interval of state polls of owned endpoints
	ListMillis      int    `json:"list_ms"`    // interval of polls of an endpoint's request list
	GraceMillis     int    `json:"grace_ms"`   // delay before the work of a gone host is cancelled
	RPCMillis       int    `json:"rpc_timeout_ms"`
	PauseMillis     int    `json:"pause_ms"` // a longer gap between checks means that the process was paused
	DrainSeconds    int    `json:"drain_s"`
	LameDuckMillis  int    `json:"lame_duck_ms"` // requests are still accepted for this time after readiness ends
	Workers         int    `json:"workers"`
	MaxConnections  int    `json:"max_connections"`  // of callers at once; further ones wait to be accepted
	MaxHeaderBytes  int    `json:"max_header_bytes"` // of a request
	LogLevel        string `json:"log_level"`
	StallMillis     int    `json:"stall_ms"` // a transfer counts as stalled after this time without progress

	// Protocol is the protocol of callers, endpoints and the platform: ProtocolOwn
	// or ProtocolPlatform.
	Protocol string `json:"protocol"`
	// Domains lists the failure domains, for platforms that publish none.
	Domains []Domain `json:"failure_domains"`
	// RetryBudget bounds the repeated calls of all hosts together.
	RetryBudget RetryBudget `json:"retry_budget"`
	// QuotaTolerance is how much may be admitted in excess of a team's rate and burst,
	// in the quota's unit, before operators object.
	QuotaTolerance float64 `json:"quota_tolerance"`
	// ColdOverrun and ColdTolerance define how many requests a second a cold endpoint may
	// be sent before operators object: its cold rate times the first, plus the second. 0
	// stands for an overrun of 1.
	ColdOverrun   float64 `json:"cold_overrun"`
	ColdTolerance float64 `json:"cold_tolerance"`
	// GraceSeconds is how long a planned stop may take before the process is
	// killed; 0: drain_s and lame_duck_ms apply unchanged.
	GraceSeconds float64 `json:"stop_grace_s"`
	// ChangeMillis is the time within which a published change has to be in
	// force on all hosts; 0: unknown. It and the sizes below come from the platform,
	// which may state them with fractions.
	ChangeMillis    float64 `json:"change_ms"`
	MemoryMegabytes float64 `json:"memory_mb"` // memory limit of the process; 0: DefaultMemoryMegabytes
	// CallerMegabytes is the memory that callers may make the process hold, from a connection's first byte to the end of its
	// answer; 0: a quarter of memory_mb. The daemon lowers it to what its tables leave.
	CallerMegabytes float64 `json:"caller_memory_mb"`
	Descriptors     float64 `json:"file_descriptors"` // limit of open file descriptors; 0: unknown
}

// The protocols.
const (
	ProtocolOwn      = "embercove"
	ProtocolPlatform = "platform"
)

// RetryBudget bounds the calls to a pool of endpoints, beyond the first of each request,
// that all hosts together may make in a sliding window.
type RetryBudget struct {
	Share   float64 `json:"share"`    // of the requests in the window
	Seconds float64 `json:"window_s"` // length of the window; 0: no budget
	Extra   float64 `json:"extra"`    // beyond the share, for all hosts together; a fraction is allowed, as hosts divide it
}

// Window returns the length of the window.
func (b RetryBudget) Window() time.Duration { return time.Duration(b.Seconds * float64(time.Second)) }

// Default values of settings, in the units of their fields.
const (
	DefaultHeartbeatMillis = 500
	DefaultSuspectMillis   = 2500
	DefaultPollMillis      = 500
	DefaultListMillis      = 1000
	DefaultGraceMillis     = 1000
	DefaultRPCMillis       = 250
	DefaultPauseMillis     = 1500
	DefaultDrainSeconds    = 60
	DefaultLameDuckMillis  = 1000
	DefaultWorkers         = 4
	DefaultMaxConnections  = 4096
	DefaultMaxHeaderBytes  = 16 << 10
	DefaultStallMillis     = 400
	DefaultMemoryMegabytes = 512
)

// ParseSettings parses and checks settings. Errors are as for ParseDocument.
func ParseSettings(src []byte) (*Settings, error) {
	s := new(Settings)
	if err := parse(src, s); err != nil {
		return nil, err
	}
	s.SetDefaults()
	if errs := s.Check(); len(errs) > 0 {
		setPositions(src, errs)
		return nil, errs
	}
	return s, nil
}

// SetDefaults sets fields that are zero to their defaults.
func (s *Settings) SetDefaults() {
	setInt(&s.HeartbeatMillis, DefaultHeartbeatMillis)
	setInt(&s.SuspectMillis, DefaultSuspectMillis)
	setInt(&s.PollMillis, DefaultPollMillis)
	setInt(&s.ListMillis, DefaultListMillis)
	setInt(&s.GraceMillis, DefaultGraceMillis)
	setInt(&s.RPCMillis, DefaultRPCMillis)
	setInt(&s.PauseMillis, DefaultPauseMillis)
	setInt(&s.DrainSeconds, DefaultDrainSeconds)
	setInt(&s.LameDuckMillis, DefaultLameDuckMillis)
	setInt(&s.Workers, DefaultWorkers)
	setInt(&s.MaxConnections, DefaultMaxConnections)
	setInt(&s.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setInt(&s.StallMillis, DefaultStallMillis)
	if s.MemoryMegabytes == 0 {
		s.MemoryMegabytes = DefaultMemoryMegabytes
	}
	if s.CallerMegabytes == 0 {
		s.CallerMegabytes = callerMemoryShare * s.MemoryMegabytes
	}
	if s.LogLevel == "" {
		s.LogLevel = "info"
	}
	if s.Protocol == "" {
		s.Protocol = ProtocolOwn
	}
	if s.Descriptors > 0 {
		s.MaxConnections = min(s.MaxConnections, int(callersDescriptorShare*s.Descriptors))
	}
}

// PeersAddress returns the address at which other hosts reach this one.
func (s *Settings) PeersAddress() string {
	if s.PeersAnnounced != "" {
		return s.PeersAnnounced
	}
	return s.Peers
}

// Check returns all errors in s.
func (s *Settings) Check() FieldErrors {
	c := new(checker)
	c.text("host", s.Host)
	c.text("failure_domain", s.Domain)
	c.text("region", s.Region)
	c.address("callers_address", s.Callers)
	c.address("peers_address", s.Peers)
	if s.PeersAnnounced != "" {
		c.address("peers_announced", s.PeersAnnounced)
	}
	c.address("admin_address", s.Admin)
	c.address("platform_address", s.Platform)
	if s.Metrics != "" {
		c.address("metrics_address", s.Metrics)
	}
	for i, a := range s.Seeds {
		c.address(index("seeds", i), a)
	}
	within(c, "heartbeat_ms", &s.HeartbeatMillis, 50, 60_000)
	within(c, "suspect_ms", &s.SuspectMillis, float64(3*s.HeartbeatMillis), 600_000)
	within(c, "poll_ms", &s.PollMillis, 10, 60_000)
	within(c, "list_ms", &s.ListMillis, 10, 60_000)
	within(c, "grace_ms", &s.GraceMillis, 10, 600_000)
	within(c, "rpc_timeout_ms", &s.RPCMillis, 5, 60_000)
	within(c, "pause_ms", &s.PauseMillis, 100, 600_000)
	within(c, "drain_s", &s.DrainSeconds, 1, 86_400)
	within(c, "lame_duck_ms", &s.LameDuckMillis, 1, 600_000)
	within(c, "workers", &s.Workers, 1, 256)
	within(c, "max_connections", &s.MaxConnections, 1, 1e6)
	within(c, "max_header_bytes", &s.MaxHeaderBytes, 512, 1<<20)
	within(c, "stall_ms", &s.StallMillis, 10, 60_000)
	c.oneOf("protocol", s.Protocol, ProtocolOwn, ProtocolPlatform)
	for i, d := range s.Domains {
		c.text(index("failure_domains", i)+".name", d.Name)
		c.text(index("failure_domains", i)+".region", d.Region)
	}
	within(c, "retry_budget.share", &s.RetryBudget.Share, 0, 100)
	within(c, "retry_budget.window_s", &s.RetryBudget.Seconds, 0, 3600)
	within(c, "retry_budget.extra", &s.RetryBudget.Extra, 0, 1e6)
	within(c, "quota_tolerance", &s.QuotaTolerance, 0, 1e12)
	within(c, "cold_overrun", &s.ColdOverrun, 0, 1e6)
	within(c, "cold_tolerance", &s.ColdTolerance, 0, 1e9)
	within(c, "stop_grace_s", &s.GraceSeconds, 0, 86_400)
	within(c, "change_ms", &s.ChangeMillis, 0, 86_400_000)
	within(c, "memory_mb", &s.MemoryMegabytes, 16, 1<<20)
	within(c, "caller_memory_mb", &s.CallerMegabytes, 1, s.MemoryMegabytes)
	within(c, "file_descriptors", &s.Descriptors, 0, 1<<24)
	c.oneOf("log_level", s.LogLevel, "debug", "info", "warn", "error")
	return c.errs
}

// callersDescriptorShare is the share of file descriptors for connections of callers. The rest
// is needed for calls to endpoints and peers.
const callersDescriptorShare = 0.5

// CollectorShare is the share of memory_mb that is set as the garbage collector's memory limit. The rest is for what isn't the
// collector's: the program itself, and memory that is about to be collected.
const CollectorShare = 0.7

// callerMemoryShare is the share of memory_mb that callers may make the process hold by default.
const callerMemoryShare = 0.25

// Millis converts milliseconds to a duration.
func Millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// FractionMillis converts milliseconds with a fraction to a duration.
func FractionMillis(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

// checkAddress returns why s is not an IP:port literal, or "" if it is.
func checkAddress(s string) string {
	if _, err := netip.ParseAddrPort(s); err != nil {
		return "want IP:port with an IP number; host names are not allowed"
	}
	return ""
}
