// Package pace limits how many requests a second all hosts together send to one endpoint: while the
// endpoint is cold, and while its answers name a rate limit. One host grants the start permits for
// such an endpoint (see package owner). Bucket says when the next permit is due. Votes and
// GrantedVotes say which share of the bound a host may grant while other hosts may also consider
// themselves the owner. LimitState holds the limit that an endpoint names. IsolatedLimiter
// limits what a host sends that reaches none of the other hosts.
//
// Whatever the load and the number of hosts, and whichever hosts reach each other, the permits used
// stay within the bound. The package has no clock, lock or connection; times are passed in.
package pace
