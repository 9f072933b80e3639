package quarantine

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/embercove/embercove/request"
)

// Stage is what an endpoint did with a request as it ended. A request may end the endpoints
// that read its prompt and be answered by those that read prompts by themselves, so a whole
// answer clears only what it went through.
type Stage uint8

// The stages.
const (
	Reading Stage = iota // a prefill engine read its prompt
	Running              // its answer was written, or a plain service was called
	stages
)

// String returns the stage in words, as operators see it.
func (s Stage) String() string {
	if s == Reading {
		return "reading"
	}
	return "running"
}

// Mark counts the ends that speak against a request in one stage. Each host changes it by
// itself, and the higher one holds everywhere, so that all come to the same whatever way
// and order they are told in.
type Mark struct {
	Epoch uint32 // rises each time that the request is cleared
	Ends  uint32 // since then
	// Beside says that it was once there as an endpoint ended, and another request that had
	// just begun explains that. Once is chance; the next one counts, and until then it runs
	// at one place at a time.
	Beside bool
}

// Below reports whether o tells of more than m.
func (m Mark) Below(o Mark) bool {
	switch {
	case m.Epoch != o.Epoch:
		return m.Epoch < o.Epoch
	case m.Ends != o.Ends:
		return m.Ends < o.Ends
	}
	return !m.Beside && o.Beside
}

// clean reports whether nothing speaks against the request.
func (m Mark) clean() bool { return m.Ends == 0 && !m.Beside }

// after returns the mark that the end of a run makes. Runs that began with the same mark
// make the same one of it: their ends are one event.
func (r *Run) after() Mark { return Mark{Epoch: r.known.Epoch, Ends: r.known.Ends + 1} }

// beside returns the mark that an end makes which another request explains.
func (r *Run) beside() Mark { return Mark{Epoch: r.known.Epoch, Beside: true} }

// forgiven reports whether an end under a run may be explained by another request.
func (r *Run) forgiven() bool { return r.Old && r.known.clean() }

// cleared is the mark of a request that was answered whole.
func (m Mark) cleared() Mark { return Mark{Epoch: m.Epoch + 1} }

// Row tells other hosts of a mark.
type Row struct {
	Request   request.Fingerprint
	Stage     Stage
	Mark      Mark
	Team      uint32  // number of its team
	AgeMillis int64   // since the mark was made
	Process   Process // that ended last under the request; 0: it was cleared
	Endpoint  string  // its name
	Host      string  // that saw it
	Old       bool    // the request had not just begun there
}

// Process names one start of an endpoint, alike on all hosts.
type Process uint64

// ProcessOf returns the name of the process at an address that started at some moment.
func ProcessOf(address string, born int64) Process {
	return Process(xxhash.Sum64String(address + "/" + strconv.FormatInt(born, 10)))
}

// YoungFor is how long after a call was made its request counts as having just begun, if it
// has brought a piece. One that has brought nothing yet has just begun however long that takes.
const YoungFor = 250 * time.Millisecond

// Run is one call to an endpoint that runs a request.
type Run struct {
	Request request.Fingerprint
	Stage   Stage
	Team    uint32
	Old     bool // it had been going on for some time when it broke off (YoungFor)
	known   Mark // as it began
}
