package strict

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"net/textproto"
	"strings"
)

// Statuses of final answers to calls that ask for no other protocol.
const (
	minStatus = 200
	maxStatus = 599
)

func checkStatusLine(res *http.Response) error {
	if res.ProtoMajor != 1 {
		return &MalformedError{fmt.Sprintf("version %.20q", res.Proto)}
	}
	if res.StatusCode < minStatus || res.StatusCode > maxStatus {
		return &MalformedError{fmt.Sprintf("status %.20q", res.Status)}
	}
	return nil
}

// checkHeads checks the heads of an answer, of which a record is the beginning: those of interim answers and the final one.
func checkHeads(record []byte) error {
	r := textproto.NewReader(bufio.NewReader(bytes.NewReader(record)))
	for {
		line, err := r.ReadLine()
		if err != nil {
			return &MalformedError{err.Error()}
		}
		head, err := r.ReadMIMEHeader()
		if err != nil {
			return &MalformedError{err.Error()}
		}
		if err := checkNames(http.Header(head)); err != nil {
			return err
		}
		if !isInterim(line) {
			return checkFraming(line, http.Header(head))
		}
	}
}

// checkFraming checks that a head doesn't state its body's end in two ways. Chunks are unknown to HTTP/1.0.
func checkFraming(statusLine string, h http.Header) error {
	if h["Transfer-Encoding"] == nil {
		return nil
	}
	if h["Content-Length"] != nil {
		return &MalformedError{"a length beside chunks"}
	}
	if strings.HasPrefix(statusLine, "HTTP/1.0") {
		return &MalformedError{"chunks in HTTP/1.0"}
	}
	return nil
}

// isInterim reports whether a status line that net/http has accepted is that of an interim answer.
func isInterim(line string) bool {
	_, status, _ := strings.Cut(line, " ")
	return strings.HasPrefix(strings.TrimLeft(status, " "), "1")
}

// checkNames checks the names of fields for blanks, the only bytes of invalid names that package textproto lets pass.
func checkNames(h http.Header) error {
	for name := range h {
		if strings.Contains(name, " ") {
			return &MalformedError{fmt.Sprintf("field name %.40q", name)}
		}
	}
	return nil
}
