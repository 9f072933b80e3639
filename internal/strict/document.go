package strict

import (
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// ErrTooLong is returned for an answer that is longer than its bound.
var ErrTooLong = errors.New("the answer is too long")

// Bounded is a reader that fails with ErrTooLong once Left bytes were read.
type Bounded struct {
	Reader io.Reader
	Left   int64
}

// Read implements io.Reader.
func (b *Bounded) Read(p []byte) (n int, err error) {
	if b.Left <= 0 {
		return 0, ErrTooLong
	}
	n, err = b.Reader.Read(p[:min(int64(len(p)), b.Left)])
	b.Left -= int64(n)
	return n, err
}

// DecodeObject decodes a body of up to maxBytes that holds a JSON object and nothing else. What out points to may be changed by an
// answer that fails.
func DecodeObject(body io.Reader, maxBytes int64, out any) error {
	d := json.NewDecoder(&Bounded{body, maxBytes})
	target := out
	if err := d.Decode(&target); err != nil {
		return err
	}
	if target == nil {
		return &MalformedError{"null in place of an object"}
	}
	return CheckEnd(d)
}

// CheckEnd returns an error unless the body of a decoder ends with what was decoded.
func CheckEnd(d *json.Decoder) error {
	t, err := d.Token()
	if err == io.EOF {
		return nil
	}
	if err == nil {
		err = &MalformedError{errors.Errorf("%.20v after its document", t).Error()}
	}
	return err
}

// Discard reads a body of up to maxBytes whose content isn't needed to its end.
func Discard(body io.Reader, maxBytes int64) error {
	_, err := io.Copy(io.Discard, &Bounded{body, maxBytes})
	return err
}
