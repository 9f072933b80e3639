package answer

import (
	"fmt"
	"net/http"
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
