package config

import (
	"fmt"
	"strings"
	"testing"
)

// TestIsNestedDeeper checks what counts as nesting.
func TestIsNestedDeeper(t *testing.T) {
	for src, want := range map[string]bool{
		"": false, "[[]]": false, "[[[]]]": true, "[[], [], {}]": false, "[{[": true, `["[[[", "\"[[["]`: false, "[ // [[[\n [ ] ]": false,
		"[ // x\n [[": true, "[ /* [[[ */ [ ] ]": false, "[ /* * / */ [[": true, `["`: false, `["\`: false, "/* [[[": false, "// [[[": false, "]]][[[": false,
	} {
		if got := isNestedDeeper([]byte(src), 2); got != want {
			t.Errorf("%q: %v, want %v", src, got, want)
		}
	}
}

// TestDeeplyNestedDocuments guards against a published document whose nesting ends the process that reads it.
func TestDeeplyNestedDocuments(t *testing.T) {
	const maxValue = 1 << 20 // of the platform, in bytes
	for _, piece := range []string{"[", `{"a":`, `{"failure_domains":[`, "[/**/", "[//\n"} {
		src := []byte(strings.Repeat(piece, maxValue/len(piece)))
		if _, err := ParseDocument(src); err == nil {
			t.Errorf("a document of %q again and again is accepted", piece)
		}
		if _, err := ParseSettings(src); err == nil {
			t.Errorf("settings of %q again and again are accepted", piece)
		}
		whole := fmt.Sprintf(`{"more": %s1%s}`, strings.Repeat("[", maxValue/4), strings.Repeat("]", maxValue/4))
		if _, err := ParseDocument([]byte(whole)); err == nil {
			t.Error("a document with a field that is nested deeply is accepted")
		}
	}
}
