package endpoint

import (
	"fmt"
	"io"
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// CallError is a failed call. MayHaveRun is its main purpose: it is false only if nothing
// reached the endpoint, or if the endpoint vouches that it didn't run the request.
type CallError struct {
	Address       string
	Status        int // HTTP status; 0 without an answer
	MayHaveRun    bool
	WrongEndpoint bool    // the address belongs to another endpoint
	Abandoned     bool    // this side abandoned the call because of the answer's contents: the endpoint may still work on it
	Answer        *Answer // the endpoint's answer, where the caller may see it
	Cause         error
}

// Error implements the error interface.
func (e *CallError) Error() string {
	answer, ran := "sent no answer", "the request did not run"
	if e.Status != 0 {
		answer = fmt.Sprintf("answered %d", e.Status)
	}
	if e.MayHaveRun {
		ran = "the request may have run"
	}
	if e.Cause == nil {
		return fmt.Sprintf("endpoint %s %s, %s", e.Address, answer, ran)
	}
	return fmt.Sprintf("endpoint %s %s, %s: %v", e.Address, answer, ran, e.Cause)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// MayHaveRun reports whether the request may have run despite err.
func MayHaveRun(err error) bool {
	var ce *CallError
	return err != nil && (!errors.As(err, &ce) || ce.MayHaveRun)
}

// WrongEndpoint reports whether err means that the address now belongs to another endpoint.
func WrongEndpoint(err error) bool {
	var ce *CallError
	return errors.As(err, &ce) && ce.WrongEndpoint
}

// Abandoned reports whether err is a call that this side abandoned because of the answer's
// contents, so that the endpoint may work on it for a little longer.
func Abandoned(err error) bool {
	var ce *CallError
	return errors.As(err, &ce) && ce.Abandoned
}

// BrokenOff reports whether err means that the connection of a call ended before its answer
// did, and that this side didn't close it.
func BrokenOff(err error) bool {
	var ce *CallError
	if !errors.As(err, &ce) || !ce.MayHaveRun || ce.Abandoned || ce.Answer != nil {
		return false
	}
	for _, ended := range []error{io.EOF, io.ErrUnexpectedEOF, io.ErrClosedPipe, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(ce.Cause, ended) {
			return true
		}
	}
	return false
}

// Unreachable reports whether err means that no connection was established.
func Unreachable(err error) bool {
	var ce *CallError
	return errors.As(err, &ce) && ce.Status == 0 && !ce.MayHaveRun
}

// KnownUnreachable reports whether err means that no connection was tried, as the endpoint is known to
// be out of reach.
func KnownUnreachable(err error) bool {
	var noPath *NoPathError
	return errors.As(err, &noPath) && noPath.Known
}

// ConnectTimedOut reports whether err means that an attempt to connect timed out. An address
// whose process is gone refuses connections instead.
func ConnectTimedOut(err error) bool {
	var timeout net.Error
	return Unreachable(err) && errors.As(err, &timeout) && timeout.Timeout()
}

// Answered reports whether the endpoint answered the call that returned err.
func Answered(err error) bool {
	var ce *CallError
	return err == nil || errors.As(err, &ce) && ce.Status != 0
}
