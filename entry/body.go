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
	conn := intake.ConnOf(q.Context())
	src, err := collect(conn, arriving, q.ContentLength)
	if err == nil && !conn.BodyArrived() {
		err = errNoRoom
	}
	if err == nil {
		_ = rc.SetReadDeadline(time.Time{})
		return src, nil
	}
	leaveUnread(w, q)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, bodyTooLarge(l)
	case errors.Is(err, errHeldOff):
		gate.CountRefused()
		return nil, heldOff()
	case errors.Is(err, errNoRoom), conn.IsEvicted():
		return nil, noRoom()
	}
	return nil, result.Errorf(result.BodyTooSlow, "body: not complete within %d ms", limit.Milliseconds()).After(time.Second)
}

func bodyTooLarge(l config.Limits) *result.Error {
	return result.Errorf(result.BodyTooLarge, "body: more than %d bytes", l.BodyBytes)
}

const (
	// firstBuffer is the size of the buffer in which a body begins to be collected, in bytes.
	firstBuffer = 16 << 10
	// firstRead is the most that is read of a body at first, in bytes: each read decides whether the rest is given up.
	firstRead = 512
)

// collect reads a body of a length, below 0 if that is unknown. Its connection holds the buffers that it takes.
func collect(conn *intake.Conn, body io.Reader, length int64) ([]byte, error) {
	var buf []byte
	for {
		room := buf[len(buf):cap(buf)]
		if isWhole := int64(len(buf)) == length; isWhole {
			room = make([]byte, 1) // for a reader that tells the end apart
		} else if len(room) == 0 {
			grown, err := grow(conn, buf, length)
			if err != nil {
				return nil, err
			}
			buf, room = grown, grown[len(grown):cap(grown)]
		}
		n, err := body.Read(room[:min(len(room), max(firstRead, len(buf)))])
		buf = buf[:len(buf)+n]
		if err == io.EOF {
			return buf, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// grow returns a larger buffer with the content of one that is full.
func grow(conn *intake.Conn, buf []byte, length int64) ([]byte, error) {
	size := max(firstBuffer, 2*cap(buf))
	if length >= 0 {
		size = int(min(int64(size), length))
	}
	if !conn.Acquire(size) {
		return nil, errNoRoom
	}
	grown := make([]byte, len(buf), size)
	copy(grown, buf)
	conn.Release(cap(buf))
	return grown, nil
}

// leaveUnread has the connection closed after the answer, without the rest of the body: net/http would read
// that first.
func leaveUnread(w http.ResponseWriter, q *http.Request) {
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Now())
	intake.ConnOf(q.Context()).LimitUnread()
}

// discardTime is how long a small body that isn't needed may take, so that its connection can stay open.
const discardTime = 500 * time.Millisecond

// discardBody prepares the answer to a call whose body isn't needed. A small one has mostly arrived with its head.
func discardBody(w http.ResponseWriter, q *http.Request) {
	if q.ContentLength < 0 || q.ContentLength > smallBody {
		leaveUnread(w, q)
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTime))
}

var (
	// errBodyTooSlow is returned for a body that can't be complete in time.
	errBodyTooSlow = errors.New("the body arrives too slowly")
	// errHeldOff is returned for a body that is given up so that others arrive.
	errHeldOff = errors.New("callers are held off")
	// errNoRoom is returned for a body that there is no memory for.
	errNoRoom = errors.New("callers hold all memory that there is for them")
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

// receiveBody reads the body of a call. It refuses a call for which there is no memory and, while callers are held off, one
// whose body is still to come; what has arrived already is served.
func (e *Entry) receiveBody(w http.ResponseWriter, q *http.Request, l config.Limits, timeLeft time.Duration) ([]byte, *result.Error) {
	if q.ContentLength > l.BodyBytes {
		leaveUnread(w, q)
		return nil, bodyTooLarge(l)
	}
	if !intake.ConnOf(q.Context()).BeginRequest(q) {
		leaveUnread(w, q)
		return nil, noRoom()
	}
	arrived := q.ContentLength >= 0 && q.ContentLength <= smallBody
	place := e.board.Intake.PlaceOf(q.Context())
	if !place.Acquire(arrived) {
		e.board.Intake.CountRefused()
		leaveUnread(w, q)
		return nil, heldOff()
	}
	defer place.Release()
	return readBody(w, q, l, timeLeft, e.board.Intake)
}

// noRoom returns the refusal of a call for which there is no memory.
func noRoom() *result.Error {
	return result.Errorf(result.HostOverloaded, "%v", errNoRoom).After(elsewhereRetryAfter)
}

// heldOff returns the refusal of a call while callers are held off.
func heldOff() *result.Error {
	return result.Errorf(result.HostOverloaded, "callers send this host more than it carries").After(elsewhereRetryAfter)
}
