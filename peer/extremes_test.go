package peer

import (
	"context"
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/owner"
	"github.com/embercove/embercove/request"
)

// extremesDocument has an engine of each kind.
const extremesDocument = `{"failure_domains": [{"name": "d", "region": "r", "link_bytes_per_second": 1000000000}], "targets": {"ttft_ms": 900, "tpot_ms": 10},
"models": [{"name": "m", "version": "1", "max_tokens": 100000, "kv_bytes_per_token": 18432}],
"teams": [{"name": "t", "quota": {"unit": "tokens", "rate": 100, "burst": 100}}],
"pools": [{"name": "llm", "memory_tokens": 89659, "slots": 64, "tokens_per_piece": 64, "link_bytes_per_second": 1000000000}],
"endpoints": [
	{"name": "prefill", "address": "127.0.0.1:1", "failure_domain": "d", "role": "prefill", "model": "m", "tokens_per_second": 50000},
	{"name": "decode", "address": "127.0.0.1:2", "failure_domain": "d", "role": "decode", "model": "m", "memory_tokens": 89659, "slots": 64, "step_micros": 600,
		"step_micros_each": 10, "link_bytes_per_second": 1000000000}]}`

// extremesRouter returns the router of a host that owns an engine of each kind.
func extremesRouter(t *testing.T) *Router {
	t.Helper()
	r := testRouter("h", "127.0.0.1:9", 0, nil)
	r.Offer(1, []byte(extremesDocument), "test")
	list := &config.RosterList{Revision: 1}
	for i, role := range []config.Role{config.Prefill, config.Decode} {
		list.Endpoints = append(list.Endpoints, config.Endpoint{Name: "growing-" + string(role), Address: fmt.Sprint("127.0.0.1:", 3+i), Domain: "d", Pool: "llm", Role: role,
			Model: "m", Version: "1", Slots: 64, Registered: true, Software: "v1"})
	}
	r.OfferRoster(list.Roster(), "test")
	if n := r.board.Config.View().Endpoints.Len(); n != 4 {
		t.Fatalf("%d endpoints", n)
	}
	return r
}

// extremes are values that no sound host sends.
var extremes = []float64{-1, math.MinInt64, 1 << 31, 1 << 40, 1 << 53, math.MaxInt64, math.Inf(1), math.Inf(-1), math.NaN()}

// setExtreme sets a number to a value of its type that is close to x. It reports whether v is a number.
func setExtreme(v reflect.Value, x float64) bool {
	switch {
	case v.CanInt():
		n := int64(math.MaxInt64)
		if x < math.MaxInt64 {
			n = int64(x)
		}
		if math.IsNaN(x) {
			n = 0
		}
		v.SetInt(min(max(n, minOf(v)), maxOf(v)))
	case v.CanUint() && x >= 0 && x <= 1:
		v.SetUint(uint64(x))
	case v.CanUint():
		v.SetUint(math.MaxUint64 >> (64 - v.Type().Bits()))
	case v.CanFloat():
		v.SetFloat(x)
	default:
		return false
	}
	return true
}

func maxOf(v reflect.Value) int64 { return math.MaxInt64 >> (64 - v.Type().Bits()) }
func minOf(v reflect.Value) int64 { return -maxOf(v) - 1 }

// numbersOf calls f for each number of a message, with its path. Slices get an element.
func numbersOf(path string, v reflect.Value, f func(path string, v reflect.Value)) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if field := v.Type().Field(i); field.IsExported() && field.Name != "Endpoint" {
				numbersOf(path+"."+field.Name, v.Field(i), f)
			}
		}
	case reflect.Slice:
		if v.Type().Elem().Kind() != reflect.Uint8 {
			if v.Len() == 0 {
				v.Set(reflect.MakeSlice(v.Type(), 1, 1))
			}
			numbersOf(path+"[0]", v.Index(0), f)
		}
	case reflect.Pointer:
		if v.IsNil() {
			v.Set(reflect.New(v.Type().Elem()))
		}
		numbersOf(path, v.Elem(), f)
	default:
		f(path, v)
	}
}

// setEndpoints sets all fields that name an endpoint.
func setEndpoints(v reflect.Value, number uint32) {
	switch v.Kind() {
	case reflect.Struct:
		if f := v.FieldByName("Endpoint"); f.IsValid() && f.CanUint() {
			f.SetUint(uint64(number))
		}
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				setEndpoints(v.Field(i), number)
			}
		}
	case reflect.Slice:
		for i := range v.Len() {
			setEndpoints(v.Index(i), number)
		}
	}
}

// TestExtremeMessagesEndNoProcess guards against numbers in the messages of other hosts that end the process: nothing recovers
// the panic of a method that net/rpc calls.
func TestExtremeMessagesEndNoProcess(t *testing.T) {
	methods := reflect.TypeFor[*server]()
	for i := range methods.NumMethod() {
		m := methods.Method(i)
		t.Run(m.Name, func(t *testing.T) {
			for _, engine := range []string{"prefill", "decode", "growing-prefill", "growing-decode"} {
				checkExtremes(t, m, engine)
			}
		})
	}
}

// checkExtremes calls a method with each number of its message at each extreme, alone and all together.
func checkExtremes(t *testing.T, m reflect.Method, engine string) {
	r := extremesRouter(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := &server{r: r, ctx: ctx}
	count := 0
	for only := -1; only < count || only < 0; only++ {
		for _, x := range extremes {
			for _, others := range []float64{0, 1} {
				args, at, changed := reflect.New(m.Type.In(1).Elem()), 0, ""
				numbersOf("", args.Elem(), func(path string, v reflect.Value) {
					if only >= 0 && at != only {
						setExtreme(v, others)
					} else if setExtreme(v, x) {
						changed += path + " "
					}
					at++
				})
				count = at
				setEndpoints(args.Elem(), config.NameNumber(engine))
				callExtreme(t, s, m, args, fmt.Sprintf("%s of %s, %s= %v, others = %v", m.Name, engine, changed, x, others))
			}
		}
	}
}

// callExtreme calls a method and then uses the engines as a sound host does. It fails if either panics.
func callExtreme(t *testing.T, s *server, m reflect.Method, args reflect.Value, what string) {
	defer func() {
		if p := recover(); p != nil {
			t.Errorf("%s: %v", what, p)
		}
	}()
	short, cancel := context.WithTimeout(s.ctx, 5*time.Millisecond)
	defer cancel()
	called := &server{r: s.r, ctx: short}
	m.Func.Call([]reflect.Value{reflect.ValueOf(called), args, reflect.New(m.Type.In(2).Elem())})
	sound := owner.ReserveArgs{Attempt: request.Attempt{Number: 1}, Endpoint: config.NameNumber("growing-decode"), Tokens: 1000, MaxAnswer: 100, Slack: 500}
	_, _ = s.r.owner.Reserve(short, sound)
	sound.Endpoint = config.NameNumber("decode")
	_, _ = s.r.owner.Reserve(short, sound)
	s.r.owner.Digests(time.Now())
}
