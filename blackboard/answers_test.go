package blackboard

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestWitness checks when the silence of a call says something about its callee.
func TestWitness(t *testing.T) {
	const (
		delay = 10 * time.Millisecond
		call  = 60 * time.Millisecond
	)
	cases := []struct {
		name       string
		others     bool          // whether there are other hosts to ask
		answerIn   time.Duration // until another host answers the ping
		call       time.Duration
		conclusive bool
		pings      int
	}{
		{"another host answers", true, 5 * time.Millisecond, call, true, 1},
		{"nobody answers", true, time.Hour, call, false, 1},
		{"another host answers as late", true, call, call, false, 1},
		{"there is no other host", false, 0, call, true, 1},
		{"the call is short", true, 0, delay / 2, false, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pings := 0
				a := &Answers{}
				a.Ping = func() bool {
					pings++
					if !tc.others {
						return false
					}
					began := time.Now()
					time.AfterFunc(tc.answerIn, func() { a.Record(began) })
					return true
				}
				a.Record(time.Now()) // an answer to a call that began earlier proves nothing
				time.Sleep(time.Millisecond)
				w := a.Witness(delay)
				time.Sleep(tc.call)
				if got := w.Stop(); got != tc.conclusive || pings != tc.pings {
					t.Errorf("conclusive %v after %d pings, want %v after %d", got, pings, tc.conclusive, tc.pings)
				}
			})
		})
	}
}

// TestSharedPing checks that calls that share a ping share its result, also after the first of
// them has ended.
func TestSharedPing(t *testing.T) {
	const delay = 10 * time.Millisecond
	for _, others := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			a := &Answers{}
			a.Ping = func() bool {
				began := time.Now()
				if others {
					time.AfterFunc(5*time.Millisecond, func() { a.Record(began) })
				}
				return others
			}
			first := a.Witness(delay)
			time.Sleep(time.Millisecond)
			second := a.Witness(delay)
			time.Sleep(delay)
			first.Stop()
			time.Sleep(2 * delay)
			if !second.Stop() {
				t.Errorf("other hosts %v: the second call's silence says nothing", others)
			}
		})
	}
}
