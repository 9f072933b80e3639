// Package quarantine detects requests that crash endpoints. It decides which crashes count against
// a request, which of the requests that were in progress together caused them, when a request is
// refused, and what hosts send each other so that all have the same counts.
//
// Each host has a Registry. Each path to an endpoint asks it before a call (Evaluate), records what
// is known when the call begins (Begin), and reports how the call ended (RecordCrash, DueRows,
// RecordSuccess). What changes comes back as rows to send to all other hosts (Apply). One of the
// reachable hosts grants probes (Grant). A probe is the only cost for a suspected request; other
// requests cost no message.
//
// The load that this guards against: one caller sends the same body again and again to any host,
// and the request crashes each endpoint that begins to run it. Each crash takes down whatever else
// is in progress there, so that most other requests fail.
//
// How crashes are attributed. All requests in progress at an endpoint end with it. One of them may
// have caused the crash, or none. So
//
//   - only a call that broke off at an endpoint whose process is gone counts (Finding);
//   - crashes under runs that began with the same knowledge are one event: a run carries the mark
//     that was known when it began, and its crash makes that mark one higher, whichever host
//     reports it, in any order and however often (Mark);
//   - a request that was answered completely within trustFor is not suspected: a request that
//     crashes every endpoint is never answered;
//   - runs that had just begun (YoungFor) explain the crash for all older runs until the young ones
//     are cleared; an old run that was explained once counts the next time;
//   - after its first crash a request runs at one place at a time, and after its second beside no
//     other suspect: what ran beside the culprit twice runs apart from it the third time;
//   - a crash that another request or a part of prompts is blamed for counts against nobody else that was there (causes);
//   - a request is blamed some seconds after its third crash, unless many other endpoints crash
//     just then without it, and a complete answer clears it at any time;
//   - after three endpoints crashed under it, however that is counted, it is sent three more times at most: each retry counts
//     as it is granted (history).
//
// Functions take the time, which has to count suspensions (package clock). Nothing here does I/O or
// starts a goroutine.
package quarantine
