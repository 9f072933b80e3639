// Package forecast learns from observations of engines how long a prefill takes, how many tokens an
// answer will have (from what its caller requested or estimated), and what a typical request looks
// like.
//
// Its types do no I/O, read no clock and take no locks: callers synchronize access.
package forecast
