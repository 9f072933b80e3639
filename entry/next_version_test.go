package entry

import (
	"testing"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/request"
)

// TestNextTryKeepsTheVersionItWasPlacedBy guards against answers that are cut as their next try begins to go on: the version that
// began them was known as it was placed, and isn't any more.
func TestNextTryKeepsTheVersionItWasPlacedBy(t *testing.T) {
	unknown := (&config.Endpoint{Name: "first"}).WithUnknownSoftware().Software
	cases := []struct{ name, answer, next, want string }{
		{"known for the next try only", unknown, "v1", "v1"},
		{"known for both", "v1", "v1", "v1"},
		{"known since", "v1", unknown, "v1"},
		{"known for neither", unknown, unknown, unknown},
	}
	for _, tc := range cases {
		for _, fromReplica := range []bool{true, false} {
			spec := &config.Endpoint{Name: "second", Software: "v1"}
			e := &Entry{log: zap.NewNop(), logLimiter: newLineLimiter()}
			j := &job{work: &endpoint.Work{Origin: &request.Origin{ID: "a"}}, reply: sentReply{}}
			j.criteria.Continues, j.criteria.Software = true, tc.answer
			j.next = &nextTry{entry: e, from: &config.Endpoint{Name: "first"}, fromReplica: fromReplica, opened: new(openedCall), plan: &plan{decodeSpec: spec}}
			j.next.job.criteria.Continues, j.next.job.criteria.Software = true, tc.next
			if fromReplica {
				e.canResume(t.Context(), j, new(plan), errors.New("silent"))
			} else {
				j.takePlan()
			}
			if !j.criteria.Continues || j.criteria.Software != tc.want {
				t.Errorf("%s, from a replica %v: bound to %q, want %q", tc.name, fromReplica, j.criteria.Software, tc.want)
			}
		}
	}
}
