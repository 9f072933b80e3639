// Package pace decides how many requests a second an endpoint is sent by all hosts together.
//
// Word and Belief are what is known of the limit that an endpoint names in its answers. The
// package keeps no clock, lock or connection; times are passed in.
package pace
