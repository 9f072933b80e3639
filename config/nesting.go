package config

import "bytes"

// maxNesting bounds how deeply a document is nested: parsers of JSON with comments recurse, and a stack that overflows ends the
// process.
const maxNesting = 100

// isNestedDeeper reports whether JSON with comments is nested more deeply than a limit.
func isNestedDeeper(src []byte, limit int) bool {
	depth := 0
	for len(src) > 0 {
		switch c := src[0]; {
		case c == '"':
			src = afterString(src)
			continue
		case bytes.HasPrefix(src, []byte("//")):
			src = afterMark(src, "\n")
			continue
		case bytes.HasPrefix(src, []byte("/*")):
			src = afterMark(src[len("/*"):], "*/")
			continue
		case c == '[' || c == '{':
			depth++
		case c == ']' || c == '}':
			depth--
		}
		if depth > limit {
			return true
		}
		src = src[1:]
	}
	return false
}

// afterString returns what follows the string that src begins with.
func afterString(src []byte) []byte {
	for i := 1; i < len(src); i++ {
		switch src[i] {
		case '\\':
			i++
		case '"':
			return src[i+1:]
		}
	}
	return nil
}

// afterMark returns what follows the first mark, or nothing if there is none.
func afterMark(src []byte, mark string) []byte {
	_, rest, _ := bytes.Cut(src, []byte(mark))
	return rest
}
