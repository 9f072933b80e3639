package result

import (
	"fmt"
	"strings"
)

// Markdown returns the contents of docs/RESULT-CODES.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Result codes\n\nGenerated from package result by `embercove codes`; a test checks that this page is current.\n\n")
	b.WriteString("| code | name | HTTP status | not run | retry | meaning | what an operator does |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, i := range infos {
		status := fmt.Sprint(i.Status)
		if i.Status == 0 {
			status = "none (log only)"
		}
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s | %s | %s |\n",
			int(i.Code), i.Name, status, yes(i.NotRun), yes(i.Retry), i.Meaning, i.Operator)
	}
	return b.String()
}

func yes(v bool) string {
	if v {
		return "yes"
	}
	return "no"
}
