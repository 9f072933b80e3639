// Package clock provides a time that includes the time for which the machine was suspended.
//
// time.Now measures durations by CLOCK_MONOTONIC, which stops while a machine is suspended.
// After a resume the age of a lease, a caller's deadline or a table entry would be too small
// by the length of the suspension. Now follows CLOCK_BOOTTIME, which doesn't stop.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// suspendedAtStart is how long the machine had been suspended between its boot and the start
// of the process.
var suspendedAtStart = suspendedSinceBoot()

// suspendedSinceBoot returns how long the machine has been suspended since it booted: the
// difference between CLOCK_BOOTTIME and CLOCK_MONOTONIC. It is 0 if the kernel lacks one of them.
func suspendedSinceBoot() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}

// minSuspension is the shortest difference that counts as a suspension. The two clocks are
// read one after the other, so their difference varies a little without any suspension.
const minSuspension = 10 * time.Millisecond

// simulated is the suspension that tests have added, in nanoseconds.
var simulated atomic.Int64

// SimulateSuspension adds d to the time that the machine counts as suspended. It is for tests, as the
// kernel's clocks can't be set.
func SimulateSuspension(d time.Duration) { simulated.Add(int64(d)) }

// Suspended returns how long the machine has been suspended since the process started.
func Suspended() time.Duration {
	d := suspendedSinceBoot() - suspendedAtStart
	if d < minSuspension {
		d = 0
	}
	return d + time.Duration(simulated.Load())
}

// Now returns time.Now plus the time for which the machine was suspended. The difference
// between two such times includes suspensions. The difference to a time from time.Now is
// meaningless.
func Now() time.Time { return time.Now().Add(Suspended()) }
