// Package quarantine decides about requests under which endpoints ended: which ends speak
// against a request, which of those that were in progress together is to blame, when a
// request is refused, and what hosts tell each other so that all count one number.
//
// Registry is its centre. Each host has one. Every way to an endpoint asks it before a call
// (Judge), notes what is known as the call begins (Begin), and tells it how the call ended
// (Ended, Due, Whole); what changed comes back as rows to be told to all other hosts (Learn).
// One host of those that are in reach gives out trials (Grant), which is all that a request
// under suspicion costs; other requests cost no message.
//
// The load that this answers: one caller with one body whose request ends each endpoint that
// begins to run it, sent again and again to any host. Each end takes with it what else is in
// progress there, so that most other requests fail.
//
// How blame is found. All requests in progress at an endpoint ended with it, and one of them
// may have done it, or none. So
//
//   - only a call that broke off at an endpoint whose process is gone counts (Finding);
//   - ends under runs that began with the same knowledge are one event: a run carries the
//     mark that was known as it began, and its end makes that mark one higher, whoever tells
//     it, in any order, and however often (Mark);
//   - whoever has been answered whole within trustFor is not suspected: a request that ends
//     every endpoint is never answered;
//   - who had just begun explains the end for all that had not, until they are cleared; what
//     was explained once counts the next time;
//   - after its first end a request runs at one place at a time, and after its second beside
//     no other suspect: what ran beside the culprit twice is apart from it the third time;
//   - a request is blamed some seconds after its third end, unless many others end just then
//     without it, and cleared by a whole answer at any time.
//
// Functions take the time, which has to count suspensions (package clock). Nothing here does
// I/O or starts a goroutine.
package quarantine
