package publish

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
)

// slowBody returns one byte after each pause.
type slowBody struct {
	ctx    context.Context
	pauses []time.Duration
}

// Read implements io.Reader.
func (d *slowBody) Read(p []byte) (int, error) {
	if len(d.pauses) == 0 {
		return 0, io.EOF
	}
	select {
	case <-time.After(d.pauses[0]):
	case <-d.ctx.Done():
		return 0, context.Canceled
	}
	d.pauses = d.pauses[1:]
	p[0] = 'x'
	return 1, nil
}

// TestGuard checks which answers are waited for and which are cancelled.
func TestGuard(t *testing.T) {
	const silence = 400 * time.Millisecond
	steady := make([]time.Duration, 40)
	for i := range steady {
		steady[i] = AnswerSilence - 10*time.Millisecond
	}
	cases := []struct {
		name   string
		begins time.Duration
		pauses []time.Duration
		want   error
		took   time.Duration
	}{
		{"prompt", 10 * time.Millisecond, []time.Duration{time.Millisecond}, nil, time.Millisecond},
		{"long and steady", 300 * time.Millisecond, steady, nil, 40 * (AnswerSilence - 10*time.Millisecond)},
		{"never begins", time.Hour, nil, context.DeadlineExceeded, 0},
		{"stops in the middle", 10 * time.Millisecond, []time.Duration{time.Millisecond, time.Hour}, ErrIncomplete, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, g := NewGuard(context.Background(), silence)
				var err error
				select {
				case <-time.After(tc.begins):
					g.Begin()
					_, err = io.Copy(io.Discard, g.Reader(&slowBody{ctx, tc.pauses}))
				case <-ctx.Done():
					err = ctx.Err()
				}
				if took := g.Took(); tc.want == nil && took != tc.took {
					t.Errorf("took %s, want %s", took, tc.took)
				}
				if err = g.End(err); !errors.Is(err, tc.want) || tc.want == nil && err != nil {
					t.Errorf("error %v, want %v", err, tc.want)
				}
			})
		})
	}
}
