// Package proof holds the tests of what must always hold, made under failure.
//
// Whole deployments run in virtual time on a network in memory, so that a
// minute takes seconds and the verdict doesn't depend on the machine. The
// judges are the stand-ins' own truth and the invariants inside the program.
// Kills and freezes of real processes are in cmd/embercoved.
package proof
