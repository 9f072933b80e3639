package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/result"
)

// Headers that callers may set.
const (
	HeaderKey        = "Idempotency-Key"
	HeaderKeyAge     = "Embercove-Key-Age-Ms" // time since the key was first sent
	HeaderTeam       = "Embercove-Team"
	HeaderPriority   = "Embercove-Priority"
	HeaderDeadline   = "Embercove-Deadline-Ms"
	HeaderRepeatable = "Embercove-Repeatable"
	HeaderLabels     = "Embercove-Labels" // key=value,key=value
)

// Body is the JSON body of the completion paths. Unknown fields are ignored, as callers'
// libraries send many.
type Body struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	Messages  []Message `json:"messages"`
	MaxTokens *int      `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// defaultMaxTokens applies to requests without max_tokens.
const defaultMaxTokens = 256

// ParseBody parses the body of a completion call. The error names the field and the cause.
func ParseBody(src []byte, chat bool) (*Body, error) {
	b := new(Body)
	if err := json.Unmarshal(src, b); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			return nil, errors.Errorf("%s: want %s, not %s", wrong.Field, wrong.Type, wrong.Value)
		}
		return nil, errors.Wrap(err, "body")
	}
	if chat {
		if len(b.Messages) == 0 {
			return nil, errors.New("messages: must be set")
		}
		b.Prompt = flatten(b.Messages)
	}
	switch {
	case b.Model == "":
		return nil, errors.New("model: must be set")
	case b.Prompt == "":
		return nil, errors.New("prompt: must be set")
	case b.MaxTokens == nil:
		n := defaultMaxTokens
		b.MaxTokens = &n
	case *b.MaxTokens < 1:
		return nil, errors.Errorf("max_tokens = %d: want 1 or more", *b.MaxTokens)
	}
	return b, nil
}

func flatten(ms []Message) string {
	var s strings.Builder
	for _, m := range ms {
		s.WriteString(m.Role)
		s.WriteString(": ")
		s.WriteString(m.Content)
		s.WriteByte('\n')
	}
	return s.String()
}

// headers are the parsed embercove headers of a call.
type headers struct {
	team       *config.Team
	priority   int // -1: the route's priority
	deadline   time.Duration
	repeatable bool
	key        string
	keyAge     time.Duration
	labels     map[string]string
}

const (
	maxPriority = 9
	maxDeadline = 24 * time.Hour
	maxKeyLen   = 255
	maxLabels   = 16
)

func parseHeaders(v *config.View, h http.Header) (headers, *result.Error) {
	out := headers{priority: -1, repeatable: true, labels: map[string]string{}}
	var refusal *result.Error
	if out.team, refusal = apiTeam(v, h); refusal != nil {
		return out, refusal
	}
	for k, val := range out.team.Labels {
		out.labels[k] = val
	}
	if err := parseLabels(h.Get(HeaderLabels), out.labels); err != nil {
		return out, err
	}
	if s := h.Get(HeaderPriority); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil || n < 0 || n > maxPriority {
			return out, result.Errorf(result.BadHeader, "%s = %q: want 0 to %d", HeaderPriority, s, maxPriority)
		}
		out.priority = n
	}
	if s := h.Get(HeaderDeadline); s != "" {
		n, err := strconv.ParseInt(s, 10, 64)
		if err != nil || n < 1 || n > maxDeadline.Milliseconds() {
			return out, result.Errorf(result.BadHeader, "%s = %q: want 1 to %d", HeaderDeadline, s, maxDeadline.Milliseconds())
		}
		out.deadline = time.Duration(n) * time.Millisecond
	}
	switch s := h.Get(HeaderRepeatable); s {
	case "", "true":
	case "false":
		out.repeatable = false
	default:
		return out, result.Errorf(result.BadHeader, "%s = %q: want true or false", HeaderRepeatable, s)
	}
	return out, out.parseKey(h)
}

func (o *headers) parseKey(h http.Header) *result.Error {
	o.key = h.Get(HeaderKey)
	if len(o.key) > maxKeyLen {
		return result.Errorf(result.BadHeader, "%s: longer than %d bytes", HeaderKey, maxKeyLen)
	}
	s := h.Get(HeaderKeyAge)
	if s == "" {
		return nil
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n < 0 || n > maxDeadline.Milliseconds() {
		return result.Errorf(result.BadHeader, "%s = %q: want 0 to %d", HeaderKeyAge, s, maxDeadline.Milliseconds())
	}
	o.keyAge = time.Duration(n) * time.Millisecond
	return nil
}

// parseLabels adds the caller's own labels. Callers can't override a team's labels.
func parseLabels(s string, into map[string]string) *result.Error {
	if s == "" {
		return nil
	}
	pairs := strings.Split(s, ",")
	if len(pairs) > maxLabels {
		return result.Errorf(result.BadHeader, "%s: more than %d labels", HeaderLabels, maxLabels)
	}
	for _, p := range pairs {
		k, val, ok := strings.Cut(strings.TrimSpace(p), "=")
		if !ok || k == "" {
			return result.Errorf(result.BadHeader, "%s: %q: want key=value", HeaderLabels, p)
		}
		if _, taken := into[k]; !taken {
			into[k] = val
		}
	}
	return nil
}

// tokens returns the router's estimate of a prompt's tokens.
func (b *Body) tokens() int { return endpoint.Tokens(len(b.Prompt)) }
