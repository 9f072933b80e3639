package entry

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/intake"
	"github.com/embercove/embercove/result"
)

// bodyTimeShare is the share of a caller's time in which its body has to arrive. The rest is for the answer.
const bodyTimeShare = 0.8

// bodyTime returns how long a body may take. timeLeft is the caller's time; 0: unknown.
func bodyTime(l config.Limits, timeLeft time.Duration) time.Duration {
	limit := config.Millis(l.BodyReadMillis)
	if timeLeft > 0 {
		limit = min(limit, time.Duration(bodyTimeShare*float64(timeLeft)))
	}
	return limit
}

// readBody reads a body within the limits of size and time. A caller that sends too slowly
// is cut off, so that it doesn't hold memory for long.
func readBody(w http.ResponseWriter, q *http.Request, l config.Limits, timeLeft time.Duration, gate *intake.Gate) ([]byte, *result.Error) {
	limit := bodyTime(l, timeLeft)
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(limit))
	arriving := &arrivingBody{Reader: http.MaxBytesReader(w, q.Body, l.BodyBytes), length: q.ContentLength, limit: limit, gate: gate, began: time.Now()}
	src, err := io.ReadAll(arriving)
	if err == nil {
		_ = rc.SetReadDeadline(time.Time{})
		return src, nil
	}
	leaveUnread(w)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, bodyTooLarge(l)
	}
	if errors.Is(err, errHeldOff) {
		gate.CountRefused()
		return nil, heldOff()
	}
	return nil, result.Errorf(result.BodyTooSlow, "body: not complete within %d ms", limit.Milliseconds()).After(time.Second)
}

func bodyTooLarge(l config.Limits) *result.Error {
	return result.Errorf(result.BodyTooLarge, "body: more than %d bytes", l.BodyBytes)
}

// leaveUnread has the connection closed after the answer, without the rest of the body: net/http would read
// that first.
func leaveUnread(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Now())
}

// discardTime is how long a small body that isn't needed may take, so that its connection can stay open.
const discardTime = 500 * time.Millisecond

// discardBody prepares the answer to a call whose body isn't needed. A small one has mostly arrived with its head.
func discardBody(w http.ResponseWriter, q *http.Request) {
	if q.ContentLength < 0 || q.ContentLength > smallBody {
		leaveUnread(w)
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTime))
}

var (
	// errBodyTooSlow is returned for a body that can't be complete in time.
	errBodyTooSlow = errors.New("the body arrives too slowly")
	// errHeldOff is returned for a body that is given up so that others arrive.
	errHeldOff = errors.New("callers are held off")
)

const (
	// bodyPaceAfter is after how long the pace of a body tells when it will be complete.
	bodyPaceAfter = 500 * time.Millisecond
	// bodyPaceMargin is how many times its limit a body would have to take at its pace to be given up.
	bodyPaceMargin = 2
)

// arrivingBody is a body that is given up once it is clear that it won't be complete in time.
type arrivingBody struct {
	io.Reader
	length int64 // in bytes; below 0: unknown
	limit  time.Duration
	gate   *intake.Gate
	began  time.Time
	read   int64
}

// Read implements io.Reader.
func (b *arrivingBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.read += int64(n)
	took := time.Since(b.began)
	b.gate.NoteDelay(took)
	if err == nil && 2*b.read < b.length && b.gate.IsOverfull() {
		return n, errHeldOff
	}
	if err == nil && b.length > 0 && took > bodyPaceAfter && float64(took)*float64(b.length) > bodyPaceMargin*float64(b.limit)*float64(b.read) {
		return n, errBodyTooSlow
	}
	return n, err
}

// smallBody is the size up to which a body mostly arrives together with its head, in bytes.
const smallBody = 4 << 10

// receiveBody reads the body of a call. While callers are held off, it refuses a call whose body is still to
// come; what has arrived already is served.
func (e *Entry) receiveBody(w http.ResponseWriter, q *http.Request, l config.Limits, timeLeft time.Duration) ([]byte, *result.Error) {
	if q.ContentLength > l.BodyBytes {
		leaveUnread(w)
		return nil, bodyTooLarge(l)
	}
	arrived := q.ContentLength >= 0 && q.ContentLength <= smallBody
	place := e.board.Intake.PlaceOf(q.Context())
	if !place.Acquire(arrived) {
		e.board.Intake.CountRefused()
		leaveUnread(w)
		return nil, heldOff()
	}
	defer place.Release()
	return readBody(w, q, l, timeLeft, e.board.Intake)
}

// heldOff returns the refusal of a call while callers are held off.
func heldOff() *result.Error {
	return result.Errorf(result.HostOverloaded, "callers send this host more than it carries").After(elsewhereRetryAfter)
}
