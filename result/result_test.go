package result

import (
	"os"
	"testing"
)

// TestTable checks that docs/RESULT-CODES.md is current.
func TestTable(t *testing.T) {
	doc, err := os.ReadFile("../docs/RESULT-CODES.md")
	if err != nil {
		t.Fatal(err)
	}
	if string(doc) != Markdown() {
		t.Error("docs/RESULT-CODES.md is not up to date: go run ./cmd/embercove codes > docs/RESULT-CODES.md")
	}
}

// TestCodes checks that numbers and names are unique, that every code is explained, and
// that only codes of requests that can't have run guarantee so.
func TestCodes(t *testing.T) {
	numbers, names := map[Code]bool{}, map[string]bool{}
	for _, i := range All() {
		if numbers[i.Code] || names[i.Name] {
			t.Errorf("%d %s is used twice", i.Code, i.Name)
		}
		numbers[i.Code], names[i.Name] = true, true
		if i.NotRun && i.Code >= 400 {
			t.Errorf("%d %s promises that the request did not run", i.Code, i.Name)
		}
		if i.Meaning == "" || i.Operator == "" {
			t.Errorf("%d %s is not explained", i.Code, i.Name)
		}
	}
	if Code(999).Info().NotRun {
		t.Error("an unlisted code promises that the request did not run")
	}
}
