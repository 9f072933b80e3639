// Package forecast learns from what engines did how long they will take and how
// long answers will be: how fast an engine reads, how many tokens an answer has by
// what was asked for or guessed, and what the usual request looks like.
//
// Its types are pure: they take no locks, read no clock and ask nobody. Whoever
// keeps one guards it.
package forecast
