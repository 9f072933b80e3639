package quarantine

import (
	"encoding/binary"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/embercove/embercove/request"
)

// Stage is what an endpoint did with a request when it crashed. A request may crash the endpoints
// that prefill its prompt and still be answered by those that do prefill themselves, so a complete
// answer clears only the stages that it went through.
type Stage uint8

// Kinds of stages.
const (
	Prefilling Stage = iota // a prefill engine processed its prompt
	Running                 // its answer was decoded, or a plain service was called
	stages
)

// String returns the stage as operators see it.
func (s Stage) String() string {
	if s == Prefilling {
		return "reading"
	}
	return "running"
}

// Mark is the failure mark of a request in one stage: it counts the crashes that speak against the
// request. Each host changes it by itself, and the higher mark supersedes the lower one everywhere,
// so that all hosts agree however and in whatever order marks reach them.
type Mark struct {
	Epoch uint32 // rises each time the request is cleared
	Ends  uint32 // crashes since then
	// Beside says that the request was a bystander of one crash that a young run explains. Once may
	// be chance; the next crash counts, and until then the request runs at one place at a time.
	Beside bool
}

// Less reports whether o supersedes m.
func (m Mark) Less(o Mark) bool {
	switch {
	case m.Epoch != o.Epoch:
		return m.Epoch < o.Epoch
	case m.Ends != o.Ends:
		return m.Ends < o.Ends
	}
	return !m.Beside && o.Beside
}

// isClear reports whether nothing speaks against the request.
func (m Mark) isClear() bool { return m.Ends == 0 && !m.Beside }

// crashed returns the mark that a crash under the run makes. Runs that began with the same mark
// make the same one: their crashes are one event.
func (r *Run) crashed() Mark { return Mark{Epoch: r.startMark.Epoch, Ends: r.startMark.Ends + 1} }

// KnownCrashes returns how many crashes spoke against the request as the run began.
func (r *Run) KnownCrashes() uint32 { return r.startMark.Ends }

// IsSuspected reports whether something spoke against the request as the run began.
func (r *Run) IsSuspected() bool { return !r.startMark.isClear() }

// bystander returns the mark that a crash makes which another request explains.
func (r *Run) bystander() Mark { return Mark{Epoch: r.startMark.Epoch, Beside: true} }

// explainable reports whether a crash under the run may be explained by another request.
func (r *Run) explainable() bool { return r.Old && r.startMark.isClear() }

// nextEpoch returns the mark of a request after it is cleared.
func (m Mark) nextEpoch() Mark { return Mark{Epoch: m.Epoch + 1} }

// Row is a mark in the form sent to other hosts.
type Row struct {
	Request   request.Fingerprint
	Stage     Stage
	Mark      Mark
	Team      uint32  // team number
	AgeMillis int64   // time since the last crash
	Process   Process // that crashed last under the request; 0: the request was cleared
	Endpoint  string  // its name
	Host      string  // that observed the crash
	Old       bool    // the request was an old run there
	Crashes   []ProcessCrash
	Retries   []RetryRow
}

// Process names one start of an endpoint; the name is the same on all hosts.
type Process uint64

// ProcessOf returns the name of the process at an address that started at a given time.
func ProcessOf(address string, born int64) Process {
	return Process(xxhash.Sum64String(address + "/" + strconv.FormatInt(born, 10)))
}

// SuccessorOf returns the name of the process that replaced a crashed one and whose start time isn't known yet.
func SuccessorOf(p Process) Process {
	return Process(xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, uint64(p))))
}

// YoungFor is how long a run is young after its call was made, if it has brought an event. A run
// that has brought nothing yet is young however long that takes.
const YoungFor = 250 * time.Millisecond

// Run is one call to an endpoint that runs a request.
type Run struct {
	Request   request.Fingerprint
	Stage     Stage
	Team      uint32
	Process   Process // that it began at, as far as its host knew
	Parts     []Part  // of its prompt
	Old       bool    // it was no longer young when it broke off (YoungFor)
	startMark Mark    // the mark when it began
}
