package main

import (
	_ "embed"
	"encoding/json"
)

// wordsFile holds the names of headers, paths and fields of the users' protocol.
//
//go:embed words.json
var wordsFile []byte

// words are the names of the users' protocol, by the stand-ins' own names for them.
var words = loadWords()

func loadWords() map[string]string {
	out := map[string]string{}
	if err := json.Unmarshal(wordsFile, &out); err != nil {
		panic(err)
	}
	return out
}
