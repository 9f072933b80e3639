// Package cold decides how many requests a second a cold endpoint is sent. One host gives
// out the starts at an endpoint (see package owner); this package says how many that may
// be and when the next one is due.
//
// It answers to any load at any number of hosts: whatever they ask for, and whatever they
// see of each other, the starts that are used within one second stay below the bound that
// operators set. It keeps no clock, lock or connection; times are passed in.
package cold
