// Package result holds the numbered result codes that embercove answers with.
//
// It is the only place that states a code, its HTTP status and its meaning;
// docs/RESULT-CODES.md is generated from it. It doesn't decide which code applies: the
// packages that detect the condition do.
package result

import (
	"fmt"
	"time"
)

// Code is a numbered result of a request. Numbers are stable: none is ever given a second
// meaning.
type Code int

// The result codes. 1xx: answered. 2xx: the request itself is invalid. 3xx: refused for
// lack of capacity or reachability, not run. 4xx: ran, or may have run, without a complete
// answer. 5xx: events of the router, never sent to callers.
const (
	OK              Code = 100
	BadBody         Code = 200
	UnknownModel    Code = 201
	PromptTooLong   Code = 202
	UnknownTeam     Code = 203
	BadCredentials  Code = 204
	BadHeader       Code = 205
	NoRoute         Code = 206
	BodyTooLarge    Code = 207
	KeyRunning      Code = 208
	KeyAnswered     Code = 209
	KeyMismatch     Code = 210
	BodyTooSlow     Code = 211
	UnknownService  Code = 212
	EndsEndpoints   Code = 213
	PartEnds        Code = 214
	TooLate         Code = 300
	NoDecodeMemory  Code = 301
	TeamLimit       Code = 302
	NoEndpoint      Code = 303
	Draining        Code = 304
	KeyOutOfReach   Code = 305
	NotReady        Code = 306
	RetryBudget     Code = 307
	EndpointRefused Code = 308
	TeamQuota       Code = 309
	Evacuated       Code = 310
	NoHome          Code = 311
	Cold            Code = 312
	UnderTrial      Code = 313
	Limited         Code = 314
	Resting         Code = 315
	VersionUnknown  Code = 316
	VersionGone     Code = 317
	ConfigOutdated  Code = 318
	HostOverloaded  Code = 319
	ConfigPartial   Code = 320
	OutcomeUnknown  Code = 400
	AnswerBroken    Code = 401
	CallerGone      Code = 402
	DeadlinePassed  Code = 403
	PrefillWasted   Code = 404
	InvariantBroken Code = 500
	RevisionClash   Code = 501
	RevisionInvalid Code = 502
	ProcessPaused   Code = 503
)

// Info describes a code for callers and operators.
type Info struct {
	Code     Code
	Name     string
	Status   int    // HTTP status; 0 for codes that no caller sees
	NotRun   bool   // the request is guaranteed not to have run
	Retry    bool   // sending it again later may succeed
	Meaning  string // one sentence for callers
	Operator string // what an operator should do if it is frequent
}

var infos = []Info{
	{OK, "ok", 200, false, false, "The complete answer was sent.", "Nothing."},
	{BadBody, "bad_body", 400, true, false, "The body is not valid JSON for this path.", "Ask the team to fix its client."},
	{UnknownModel, "unknown_model", 404, true, false, "No configured model or adapter has this name.", "Check models in the configuration."},
	{PromptTooLong, "prompt_too_long", 413, true, false, "Prompt and answer together exceed the model's token limit.", "Check max_tokens of the model."},
	{UnknownTeam, "unknown_team", 403, true, false, "The team is not in the configuration.", "Add the team to the configuration, or find out who is calling."},
	{BadCredentials, "bad_credentials", 401, true, false, "The request has no key of a configured team.", "Check keys_sha256 of the team, and which revision is in force."},
	{BadHeader, "bad_header", 400, true, false, "A request header has a value that is not allowed.", "Ask the team to fix its client."},
	{NoRoute, "no_route", 403, true, false, "No route matches this request.", "Run embercove explain with the request's labels."},
	{BodyTooLarge, "body_too_large", 413, true, false, "The body is larger than the limit.", "Check limits.body_bytes."},
	{KeyRunning, "key_running", 409, false, true, "Another attempt with this idempotency key is in progress.", "Nothing; the caller retries later."},
	{KeyAnswered, "key_answered", 409, false, false, "A request with this idempotency key was answered before.", "Nothing; the caller has its answer."},
	{KeyMismatch, "key_mismatch", 422, true, false, "The idempotency key was used before with another body.", "Ask the team to fix its client."},
	{BodyTooSlow, "body_too_slow", 408, true, true, "The body did not arrive in time.", "Look for callers with half-open connections."},
	{UnknownService, "unknown_service", 404, true, false, "No route leads to a plain service of this name.", "Check the routes' service selectors."},
	{EndsEndpoints, "ends_endpoints", 400, false, false, "Endpoints crashed while running this request, so it is no longer sent to any. This attempt did not run; earlier ones did.", "Look at embercove suspects; fix what the request crashes, then clear it with embercove suspects -clear."},
	{PartEnds, "part_ends_endpoints", 400, false, false, "Endpoints crashed as they began to answer requests with a part of this prompt, so no request with it is sent to any. This attempt did not run.", "Look at embercove suspects; fix what the part crashes, then clear it with embercove suspects -clear."},
	{TooLate, "too_late", 503, true, true, "The targets can't be met with the work already queued.", "Load is above capacity: add prefill runners."},
	{NoDecodeMemory, "no_decode_memory", 503, true, true, "No decode memory will be free in time.", "Load is above capacity: add decode runners."},
	{TeamLimit, "team_limit", 429, true, true, "The team has too many requests in progress on this host.", "Check max_concurrent of the team."},
	{NoEndpoint, "no_endpoint", 503, true, true, "No endpoint that the route allows is reachable.", "Run embercove status; look for failure domains that are cut off."},
	{Draining, "draining", 503, true, true, "This host is stopping.", "Nothing; the load balancer removes the host."},
	{KeyOutOfReach, "key_out_of_reach", 503, false, true, "The hosts that hold this idempotency key are unreachable; this attempt did not run, an earlier one may have.", "Look for a network partition between failure domains."},
	{NotReady, "not_ready", 503, true, true, "This host has no accepted configuration yet.", "Check that the platform or a peer is reachable."},
	{RetryBudget, "retry_budget", 503, true, true, "The attempts failed before running and the retry budget is spent.", "Look for failing endpoints."},
	{EndpointRefused, "endpoint_refused", 503, true, true, "The endpoint refused the request without running it.", "Look at the endpoint's own log."},
	{TeamQuota, "team_quota", 429, true, true, "The team exceeds its quota over all hosts.", "Compare the team's quota with its use: embercove status."},
	{Evacuated, "evacuated", 503, true, true, "All endpoints of the request are in failure domains that are being evacuated.", "Look at evacuations in embercove status; end one, or wait."},
	{NoHome, "no_home", 503, true, true, "No endpoint is reachable in a region where the request may be served.", "Compare the regions of the route and the team with those of the endpoints."},
	{Cold, "cold", 503, true, true, "The endpoints of the request are cold, and each already gets as many requests as it can take.", "Look at cold_s of endpoints in embercove status; wait some seconds."},
	{UnderTrial, "under_trial", 503, true, true, "An endpoint crashed while running this request, and the same request is being probed elsewhere.", "Look at embercove suspects."},
	{Limited, "limited", 503, true, true, "The endpoints of the request limit their requests per second, and these limits are used up.", "Look at the state limited and at limit_per_s of endpoints in embercove status: they are short of capacity."},
	{Resting, "resting", 503, true, true, "The endpoints of the request refused requests of this host and asked it to back off.", "Look at the state resting of endpoints in embercove status: they are overloaded."},
	{VersionUnknown, "version_unknown", 503, true, false, "It isn't known which software version began this answer, so it can't go on anywhere.", "Look for hosts that restarted together or are cut off from each other; see docs/design/VERSIONS.md."},
	{VersionGone, "version_gone", 503, true, false, "No endpoint runs the software version that began this answer any more.", "Look at software in embercove status; keep endpoints of a version until its answers are over."},
	{ConfigOutdated, "config_outdated", 503, true, true, "This host's configuration may be out of date, so it can't tell whether the request is allowed.", "Look at platform_silent_s and intake in embercove status of the host: it is cut off, or overloaded."},
	{HostOverloaded, "host_overloaded", 503, true, true, "Callers send this host more than its link or processor carries, or make it hold more than caller_memory_mb.", "Look at intake in embercove status: add hosts, or find out why the load balancer prefers this one. embercove_intake_evicted_total counts callers that don't end their requests or don't read their answers."},
	{ConfigPartial, "config_partial", 503, true, true, "A part of the configuration that may allow the request can't be read by this host.", "Look for published item left out in the host's log: it names the field and the cause. Publish a version that mends it."},
	{OutcomeUnknown, "outcome_unknown", 502, false, false, "The request may have run; its answer is not known.", "Look for hosts or endpoints that crashed."},
	{AnswerBroken, "answer_broken", 502, false, true, "The answer broke off and could not be resumed.", "Look for endpoints that crashed."},
	{CallerGone, "caller_gone", 499, false, false, "The caller left before its answer was complete.", "Nothing."},
	{DeadlinePassed, "deadline_passed", 504, false, true, "The deadline passed while the request was running.", "Compare deadlines with the targets."},
	{PrefillWasted, "prefill_wasted", 503, false, true, "The prompt was prefilled but no decode engine took it in time.", "Raise policy.margin_sd, or add decode runners."},
	{InvariantBroken, "invariant_broken", 0, false, false, "An internal invariant was violated.", "Report it as a bug with the log line."},
	{RevisionClash, "revision_clash", 0, false, false, "Two documents have the same revision; the one in force stays.", "Publish again with a higher revision."},
	{RevisionInvalid, "revision_invalid", 0, false, false, "A published revision was rejected; the one in force stays.", "Run embercove check on the document."},
	{ProcessPaused, "process_paused", 0, false, false, "The process was paused; what it knew of other hosts and endpoints was dropped.", "Look for an overcommitted host."},
}

var byCode = func() map[Code]Info {
	m := make(map[Code]Info, len(infos))
	for _, i := range infos {
		m[i.Code] = i
	}
	return m
}()

// All returns the descriptions of all codes, ordered by number.
func All() []Info { return append([]Info(nil), infos...) }

// Info returns the description of c. An unlisted code gets a generic description, so that
// logging it never fails.
func (c Code) Info() Info {
	if i, ok := byCode[c]; ok {
		return i
	}
	return Info{Code: c, Name: fmt.Sprintf("code_%d", int(c)), Status: 500}
}

// String returns the code's name.
func (c Code) String() string { return c.Info().Name }

// NotRun reports whether c guarantees that the request did not run.
func (c Code) NotRun() bool { return c.Info().NotRun }

// Error is a refusal or failure with its code. Packages return it where a caller must
// receive a numbered reason.
type Error struct {
	Code       Code
	Detail     string        // names the field and the cause; safe to show to callers
	RetryAfter time.Duration // when to retry; 0 if retrying is useless
	// Unsure withdraws the guarantee that the request did not run: this attempt didn't, but
	// an earlier one under the same idempotency key may have.
	Unsure bool
}

// NotRun reports whether the caller can be assured that its request did not run, under this
// attempt or an earlier one.
func (e *Error) NotRun() bool { return e.Code.NotRun() && !e.Unsure }

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", int(e.Code), e.Code, e.Detail)
}

// Errorf returns an *Error with a formatted detail and no retry time.
func Errorf(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Detail: fmt.Sprintf(format, args...)}
}

// After sets the time after which a retry may succeed, and returns e.
func (e *Error) After(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}
