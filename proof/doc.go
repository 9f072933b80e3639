// Package proof tests the system's guarantees under faults.
//
// Each test runs a whole deployment in virtual time on an in-memory network, so
// that a minute takes seconds and the result doesn't depend on the machine. The
// checks compare answers with the fake endpoints' own records; broken invariants
// inside the program fail a test too. Tests that kill or suspend real processes are
// in cmd/embercoved.
package proof
