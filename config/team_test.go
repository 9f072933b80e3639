package config

import (
	"strings"
	"testing"
)

// TestTeamErrors checks the errors for invalid fields of two teams. No error may contain a key,
// which may have been pasted in place of its digest.
func TestTeamErrors(t *testing.T) {
	sum := KeyDigest("secret")
	cases := []struct{ name, red, blue, want string }{
		{"keys and a quota", `"keys_sha256": ["` + sum + `"], "priority": 0, "quota": {"unit": "tokens", "rate": 5, "burst": 10, "plain_tokens": 200}`, "", ""},
		{"a key itself", `"keys_sha256": ["secret"]`, "", "teams[0].keys_sha256[0]: want 64 hex digits"},
		{"a key twice", `"keys_sha256": ["` + sum + `", "` + sum + `"]`, "", "teams[0].keys_sha256[1] = "},
		{"a key of two teams", `"keys_sha256": ["` + sum + `"]`, `"keys_sha256": ["` + sum + `"]`, "is a key of team red already"},
		{"an unknown name for keys", `"token_sha256": "` + sum + `"`, "", "token_sha256: unknown field"},
		{"a typo", `"quota": {"rat": 5}`, "", `did you mean "rate"`},
		{"a negative rate", `"quota": {"rate": -1}`, "", "teams[0].quota.rate = -1: want 0 to"},
		{"an unknown unit", `"quota": {"rate": 1, "unit": "words"}`, "", "teams[0].quota.unit"},
		{"a burst without a rate", `"quota": {"burst": 10}`, "", "teams[0].quota.burst = 10: needs a rate"},
		{"a priority out of range", `"priority": 10`, "", "teams[0].priority = 10: want 0 to 9"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			team := func(name, fields string) string {
				return `{"name": "` + name + `"` + strings.TrimSuffix(", "+fields, ", ") + `}`
			}
			src := `{"failure_domains": [{"name": "a", "region": "r"}], "targets": {"ttft_ms": 1, "tpot_ms": 1},
				"teams": [` + team("red", tc.red) + `, ` + team("blue", tc.blue) + `]}`
			_, err := ParseDocument([]byte(src))
			switch {
			case tc.want == "" && err != nil:
				t.Fatal(err)
			case tc.want != "" && (err == nil || !strings.Contains(err.Error(), tc.want)):
				t.Errorf("got %v, want %q", err, tc.want)
			case err != nil && strings.Contains(err.Error(), "secret"):
				t.Errorf("the error shows the key: %v", err)
			}
		})
	}
}

// TestCost checks the quota cost of requests.
func TestCost(t *testing.T) {
	cases := []struct {
		name           string
		quota          Quota
		prompt, answer int
		want           float64
	}{
		{"requests", Quota{}, 3000, 70, 1},
		{"tokens", Quota{Unit: QuotaTokens, PlainTokens: 200}, 3000, 70, 3070},
		{"none stated", Quota{Unit: QuotaTokens, PlainTokens: 200}, 0, 0, 200},
		{"none stated, and no default", Quota{Unit: QuotaTokens}, 0, 0, 1},
		{"negative", Quota{Unit: QuotaTokens, PlainTokens: 200}, -5, -5, 200},
		{"one of them negative", Quota{Unit: QuotaTokens, PlainTokens: 200}, -3000, 70, 70},
		{"huge", Quota{Unit: QuotaTokens}, 1 << 62, 1 << 62, maxRequestTokens},
	}
	for _, tc := range cases {
		if got := tc.quota.Cost(tc.prompt, tc.answer); got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}
