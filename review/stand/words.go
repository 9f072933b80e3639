// Package stand holds the stand-ins of the review: a store, servers, clients, and embercoved as
// processes of its own on loopback addresses.
package stand

import (
	_ "embed"
	"strings"
)

//go:embed words.txt
var wordList string

// words holds the platform's spelling of each name that the stand-ins use.
var words = func() map[string]string {
	out := map[string]string{}
	for line := range strings.Lines(wordList) {
		name, spelling, _ := strings.Cut(strings.TrimSpace(line), " ")
		out[name] = spelling
	}
	return out
}()

// Word returns the platform's spelling of a name in words.txt.
func Word(name string) string {
	spelling, ok := words[name]
	if !ok {
		panic("no such word: " + name)
	}
	return spelling
}
