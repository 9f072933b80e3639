// Package fake holds small stand-ins for the systems around embercove: model
// runners, plain services, the platform and a network that can be cut. Tests,
// trials and the demo use them.
//
// Each stand-in records what ran on it, how often and for which request. Tests
// check the router's guarantees against these records and not against what the
// router reports.
package fake
