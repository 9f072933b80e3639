package forecast

import "testing"

// TestAnswers checks forecasts of answer lengths before and after learning, and that long answers
// don't affect the forecast of short ones.
func TestAnswers(t *testing.T) {
	var f Answers
	if p := f.Survival(50, 100); p < 0.45 || p > 0.55 {
		t.Errorf("before any answer, half-way: %.2f, want about 0.5", p)
	}
	for range 500 {
		f.Learn(30, 100)
	}
	if p := f.Survival(50, 100); p > 0.05 {
		t.Errorf("after answers of 30, at 50: %.2f, want nearly 0", p)
	}
	if p := f.Survival(20, 100); p < 0.95 {
		t.Errorf("after answers of 30, at 20: %.2f, want nearly 1", p)
	}
	if n := f.Expect(100); n < 25 || n > 35 {
		t.Errorf("expects %d of 100, want about 30", n)
	}
	if p := f.Survival(2, 4); p < 0.3 {
		t.Errorf("short answers were learned from long ones: %.2f", p)
	}
}
