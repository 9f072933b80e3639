// Package pace decides how many requests a second an endpoint is sent by all hosts together,
// where that is bounded: while it is cold, and while it names a limit in its answers. One host
// gives out the starts at such an endpoint (see package owner); Pace says when the next one is
// due, Votes and Right how much of the whole one host may give out while others may take
// themselves for the same, Belief which limit an endpoint names, and Lone what a host may send
// that reaches none of the others.
//
// It answers to any load at any number of hosts: whatever they ask for, and whatever they see
// of each other, what is used stays within the bound. It keeps no clock, lock or connection;
// times are passed in.
package pace
