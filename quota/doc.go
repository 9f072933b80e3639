// Package quota limits how much of a team's quota is admitted by all hosts together, without any
// shared state.
//
// In each failure domain one host, the team's holder, keeps an Account and is asked about each
// request. Holders report to each other what they have admitted, so that each knows roughly how
// much of the limit is left. Without reports from another failure domain a holder admits only the
// share of its own domain. A host that reaches no holder admits its own usual share, by an
// IsolatedLimiter.
//
// The package makes no calls and reads no clock: times are passed in, from a clock that never
// jumps. An Account or an IsolatedLimiter is not safe for concurrent use; Accounts is.
package quota
