package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/embercove/embercove/request"
)

func partOf(name string) Part {
	return Part{request.FingerprintOf("t", "h", "p", "part", []byte(name)), name}
}

func partsOf(names ...string) (out []Part) {
	for _, name := range names {
		out = append(out, partOf(name))
	}
	return out
}

// partScene applies events to the Parts of one host, at times in ms.
type partScene struct {
	p       *Parts
	start   time.Time
	crashed int
}

func newPartScene() *partScene { return &partScene{p: NewParts("h", nil), start: time.Now()} }

func (s *partScene) at(ms int) time.Time { return s.start.Add(time.Duration(ms) * time.Millisecond) }

// crash has a process crash under young runs of requests with the given parts. The first word is the request's name.
func (s *partScene) crash(ms int, runs ...[]string) {
	s.crashed++
	for _, r := range runs {
		run := Run{Request: request.FingerprintOf("t", "h", "", "", []byte(r[0])), Stage: Running, Parts: partsOf(r[1:]...)}
		s.p.RecordCrash(run, Process(s.crashed), fmt.Sprint("e", s.crashed), s.at(ms))
	}
}

func (s *partScene) sound(ms int, names ...string) {
	s.p.RecordSound(partsOf(names...), s.at(ms), s.at(ms))
}

func (s *partScene) verdict(ms int, names ...string) Verdict {
	return s.p.Evaluate(partsOf(names...), s.at(ms)).Verdict
}

// TestPartVerdicts plays crashes and sound answers, and checks what requests may do then.
func TestPartVerdicts(t *testing.T) {
	series := func(s *partScene, n, interval int, names ...string) {
		for i := range n {
			s.crash(i*interval, append([]string{fmt.Sprint("r", i)}, names...))
		}
	}
	cases := []struct {
		name  string
		play  func(s *partScene)
		at    int // ms
		parts []string
		want  Verdict
	}{
		{"nothing happened", func(*partScene) {}, 0, []string{"x"}, Free},
		{"one request", func(s *partScene) { series(s, 1, 0, "x") }, 0, []string{"x"}, Free},
		{"two requests", func(s *partScene) { series(s, 2, 300, "x") }, 300, []string{"x"}, Suspect},
		{"three requests", func(s *partScene) { series(s, 3, 300, "x") }, 600, []string{"x"}, Blamed},
		{"two requests twice", func(s *partScene) {
			s.crash(0, []string{"r0", "x"})
			s.crash(300, []string{"r0", "x"})
			s.crash(600, []string{"r1", "x"})
			s.crash(900, []string{"r1", "x"})
		}, 900, []string{"x"}, Blamed},
		{"one request again and again", func(s *partScene) {
			for i := range 6 {
				s.crash(300*i, []string{"r", "x"})
			}
		}, 1800, []string{"x"}, Free},
		{"one request again and again, and another one by chance", func(s *partScene) {
			for i := range 6 {
				s.crash(300*i, []string{"r", "x"})
			}
			s.crash(1800, []string{"q", "x"})
		}, 1800, []string{"x"}, Suspect},
		{"five engines at one moment", func(s *partScene) { series(s, 5, 10, "x") }, 50, []string{"x"}, Suspect},
		{"another part", func(s *partScene) { series(s, 5, 300, "x") }, 1500, []string{"y"}, Free},
		{"sound between", func(s *partScene) {
			s.crash(0, []string{"a", "x"})
			s.crash(300, []string{"b", "x"})
			s.sound(400, "x")
			s.crash(600, []string{"c", "x"})
		}, 600, []string{"x"}, Free},
		{"sound before", func(s *partScene) {
			s.sound(-1, "x")
			series(s, 3, 300, "x")
		}, 600, []string{"x"}, Blamed},
		{"its caller's other part was sound before", func(s *partScene) {
			s.sound(-1, "a")
			series(s, 3, 300, "a", "x")
		}, 600, []string{"a", "y"}, Free},
		{"with that other part", func(s *partScene) {
			s.sound(-1, "a")
			series(s, 3, 300, "a", "x")
		}, 600, []string{"a", "x"}, Blamed},
		{"a part that is sound beside it", func(s *partScene) {
			series(s, 3, 300, "a", "x")
			s.sound(601, "a")
		}, 700, []string{"a", "y"}, Free},
		{"two parts that can't be told apart, both", func(s *partScene) { series(s, 3, 300, "a", "x") }, 600, []string{"a", "x"}, Blamed},
		{"two parts that can't be told apart, one of them", func(s *partScene) { series(s, 3, 300, "a", "x") }, 600, []string{"a", "y"}, Suspect},
		{"two suspects that can't be told apart, one of them", func(s *partScene) { series(s, 2, 300, "a", "x") }, 600, []string{"a", "y"}, Free},
		{"two parts, told apart by a crash", func(s *partScene) {
			series(s, 3, 300, "a", "x")
			s.crash(900, []string{"q", "x", "z"})
		}, 900, []string{"x"}, Blamed},
		{"two parts, told apart by a crash, the other one", func(s *partScene) {
			series(s, 3, 300, "a", "x")
			s.crash(900, []string{"q", "x", "z"})
			s.sound(1000, "a")
		}, 1000, []string{"a"}, Free},
		{"others beside it had just begun as well", func(s *partScene) {
			s.sound(-1, "a")
			for i := range 3 {
				s.crash(300*i, []string{fmt.Sprint("r", i), "a", "x"}, []string{fmt.Sprint("s", i), "a", "y"})
			}
		}, 600, []string{"a", "y"}, Suspect},
		{"it had just begun beside another deadly part, and by chance twice", func(s *partScene) {
			s.sound(-1, "a")
			for i := range 3 {
				s.crash(300*i, []string{fmt.Sprint("r", i), "a", "x"})
			}
			s.crash(900, []string{"s1", "a", "y1"})
			s.crash(1200, []string{"s2", "a", "y2"})
		}, 1200, []string{"a", "z"}, Suspect},
		{"many other engines crash without it", func(s *partScene) {
			for i := range 5 {
				s.crash(300*i, []string{fmt.Sprint("r", i), "x"})
				s.crash(300*i+100, []string{fmt.Sprint("s", i), fmt.Sprint("y", i)})
			}
		}, 1500, []string{"x"}, BackingOff},
		{"a minute later", func(s *partScene) { series(s, 3, 300, "x") }, 61_000, []string{"x"}, Suspect},
		{"a probe crashes an engine then", func(s *partScene) { series(s, 3, 300, "x"); s.crash(61_000, []string{"p", "x"}) }, 62_000, []string{"x"}, Blamed},
		{"cleared", func(s *partScene) { series(s, 3, 300, "x"); s.p.Clear(partOf("x").Key, s.at(700)) }, 800, []string{"x"}, Free},
		{"forgotten after a day", func(s *partScene) { series(s, 3, 300, "x"); s.p.Sweep(s.at(25 * 3600 * 1000)) }, 25 * 3600 * 1000, []string{"x"}, Free},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newPartScene()
			tc.play(s)
			if got := s.verdict(tc.at, tc.parts...); got != tc.want {
				t.Errorf("%s, want %s", got, tc.want)
			}
		})
	}
}

// TestPartBesideRequest has a whole request crash engines beside sound requests that share a part. The part isn't
// blamed for it.
func TestPartBesideRequest(t *testing.T) {
	now, registry := time.Now(), New("h")
	p := NewParts("h", registry)
	deadly := request.FingerprintOf("t", "h", "", "", []byte("deadly"))
	for i := range 4 {
		at := now.Add(time.Duration(i) * time.Second)
		runs := []Run{registry.Begin(deadly, Running, 1), registry.Begin(request.FingerprintOf("t", "h", "", "", []byte(fmt.Sprint(i))), Running, 1)}
		runs[1].Parts = partsOf("a", "b")
		process := ProcessOf(fmt.Sprint("10.0.0.", i), int64(i))
		registry.RecordCrash(runs, process, "e", at)
		p.RecordCrash(runs[1], process, fmt.Sprint("e", i), at)
	}
	if v := p.Evaluate(partsOf("a", "c"), now.Add(4*time.Second)).Verdict; v != Free {
		t.Errorf("the part is %s", v)
	}
}

// TestPartsOfHosts passes news between two hosts in any order and more than once. Both then think the same of all
// parts.
func TestPartsOfHosts(t *testing.T) {
	for range 50 {
		seed := rand.Uint64()
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			now := time.Now()
			hosts := []*Parts{NewParts("h0", nil), NewParts("h1", nil)}
			var sent []func()
			for i := range 40 {
				at := now.Add(time.Duration(i) * 100 * time.Millisecond)
				h := r.IntN(2)
				q := r.IntN(8) // a request, which has the same parts each time
				parts := partsOf(fmt.Sprint("a", q%2), fmt.Sprint("x", q%3))
				var news PartNews
				if r.IntN(2) == 0 {
					run := Run{Request: request.FingerprintOf("t", "h", "", "", []byte(fmt.Sprint(q))), Stage: Running, Parts: parts}
					news = hosts[h].RecordCrash(run, Process(r.IntN(20)+1), fmt.Sprint("e", r.IntN(5)), at)
				} else {
					news = hosts[h].RecordSound(parts, at, at)
				}
				for range 1 + r.IntN(2) {
					sent = append(sent, func() { hosts[1-h].Apply(aged(news, now.Add(4*time.Second).Sub(at)), now.Add(4*time.Second)) })
				}
			}
			r.Shuffle(len(sent), func(i, k int) { sent[i], sent[k] = sent[k], sent[i] })
			for _, deliver := range sent {
				deliver()
			}
			end := now.Add(4 * time.Second)
			hosts[0].Apply(hosts[1].News(end), end)
			hosts[1].Apply(hosts[0].News(end), end)
			if hosts[0].Hash() != hosts[1].Hash() {
				t.Error("the hosts know different things")
			}
			for _, name := range []string{"a0", "a1", "x0", "x1", "x2"} {
				v0, v1 := hosts[0].Evaluate(partsOf(name), end).Verdict, hosts[1].Evaluate(partsOf(name), end).Verdict
				if v0 != v1 {
					t.Errorf("part %s: %s and %s", name, v0, v1)
				}
			}
		})
	}
}

// aged returns news as it is after a time on its way.
func aged(news PartNews, by time.Duration) (out PartNews) {
	for _, c := range news.Crashes {
		c.AgeMillis += by.Milliseconds()
		c.Parts = append([]PartState(nil), c.Parts...)
		for i := range c.Parts {
			if c.Parts[i].SoundMillis >= 0 {
				c.Parts[i].SoundMillis += by.Milliseconds()
			}
		}
		out.Crashes = append(out.Crashes, c)
	}
	for _, s := range news.Sound {
		s.SoundMillis += by.Milliseconds()
		out.Sound = append(out.Sound, s)
	}
	return out
}

// TestPartsBound checks that a team that crashes many engines makes others' crashes forgotten last.
func TestPartsBound(t *testing.T) {
	p, now := NewParts("h", nil), time.Now()
	record := func(team uint32, i int) {
		run := Run{Request: request.FingerprintOf(fmt.Sprint(team), "h", "", "", []byte(fmt.Sprint(i))), Stage: Running, Team: team, Parts: partsOf(fmt.Sprint(team))}
		p.RecordCrash(run, Process(i+1), "e", now.Add(time.Duration(i)*time.Millisecond))
	}
	for i := range 3 {
		record(1, i*300)
	}
	for i := range maxPartCrashes + 100 {
		record(2, 1000+i)
	}
	if n := p.Len(); n != maxPartCrashes {
		t.Errorf("%d crashes are kept, want %d", n, maxPartCrashes)
	}
	if v := p.Evaluate(partsOf("1"), now.Add(2*time.Second)).Verdict; v == Free {
		t.Error("the crashes of the other team were forgotten")
	}
}

// TestPartProbes checks that one request with a suspected part runs at a time.
func TestPartProbes(t *testing.T) {
	s := newPartScene()
	s.crash(0, []string{"a", "x"})
	s.crash(300, []string{"b", "x"})
	ask := func(holder uint64, ms int) Reply {
		return s.p.Grant(Ask{Request: partOf("x").Key, Part: true, Holder: holder, Endpoint: uint32(holder)}, s.at(ms))
	}
	if !ask(1, 400).Granted {
		t.Error("the first request got no probe")
	}
	if ask(2, 500).Granted {
		t.Error("two requests got a probe at the same time")
	}
	s.p.EndProbe(1)
	if !ask(2, 600).Granted {
		t.Error("the second request got no probe after the first one")
	}
	s.p.SettleProbe(2, s.at(700))
	if !ask(3, 800).Granted {
		t.Error("a third request got no probe after the second one had settled")
	}
	s.crash(900, []string{"c", "x"})
	if ask(4, 1000).Granted {
		t.Error("a request with a blamed part got a probe")
	}
}

// BenchmarkPartsEvaluate measures a verdict on a prompt of eight parts while many crashes are known.
func BenchmarkPartsEvaluate(b *testing.B) {
	s := newPartScene()
	for i := range maxPartCrashes {
		s.crash(i, []string{fmt.Sprint(i), fmt.Sprint("a", i%7), fmt.Sprint("x", i)})
	}
	parts := partsOf("1", "2", "3", "4", "5", "6", "7", "8")
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		s.p.Evaluate(parts, now)
	}
}
