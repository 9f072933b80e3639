// Package quota decides how much of a team's limit may be let in, over all hosts
// together and without any shared state.
//
// In each failure domain one host, the team's holder, keeps an Account and is asked
// for each request. Holders tell each other what they have let in, so that each
// knows about how much of the limit is left. Without word from another failure
// domain a holder lets in only the share of its own; a host that reaches no holder
// lets in its own usual part, by a Lone.
//
// The package asks nobody and reads no clock: times are passed in, of a clock that
// never jumps. An Account or a Lone is not safe for concurrent use; Accounts is.
package quota
