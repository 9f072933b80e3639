package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
	"strings"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// FieldError describes an invalid field.
type FieldError struct {
	Field string // path such as endpoints[3].address
	Value string // as written; empty if there is none
	Cause string // what is wrong or what is allowed
	Line  int    // 1-based; 0 if unknown
	Col   int
}

// Error implements the error interface.
func (e *FieldError) Error() string {
	var b strings.Builder
	if e.Line > 0 {
		fmt.Fprintf(&b, "%d:%d: ", e.Line, e.Col)
	}
	b.WriteString(e.Field)
	if e.Value != "" {
		fmt.Fprintf(&b, " = %s", e.Value)
	}
	b.WriteString(": " + e.Cause)
	return b.String()
}

// FieldErrors is the list of all errors found in a document, in the order of its fields.
type FieldErrors []*FieldError

// Error implements the error interface.
func (e FieldErrors) Error() string {
	lines := make([]string, len(e))
	for i, f := range e {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// ParseDocument parses and checks a document. It is a pure function of the bytes: the
// document is accepted or rejected as a whole. The error is FieldErrors, or a
// *FieldError with line and column.
func ParseDocument(src []byte) (*Document, error) {
	d := new(Document)
	if err := parse(src, d); err != nil {
		return nil, err
	}
	d.setDefaults()
	if errs := d.check(); len(errs) > 0 {
		setPositions(src, errs)
		return nil, errs
	}
	return d, nil
}

// parse decodes JSON with comments into v. Unknown fields are errors that suggest the nearest
// known name.
func parse(src []byte, v any) error {
	std, err := standardize(src)
	if err != nil {
		return &FieldError{Field: "document", Cause: err.Error()}
	}
	dec := json.NewDecoder(bytes.NewReader(std))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return toFieldError(src, v, err, dec.InputOffset())
	}
	if dec.More() {
		line, col := position(src, dec.InputOffset())
		return &FieldError{Field: "document", Cause: "text after the end of the document", Line: line, Col: col}
	}
	return nil
}

// standardize converts JSON with comments to plain JSON of the same length. Input that is
// already plain, as documents published by programs are, is returned as it is: the
// conversion takes more than half of the time of loading a large document.
func standardize(src []byte) ([]byte, error) {
	if json.Valid(src) {
		return src, nil
	}
	if isNestedDeeper(src, maxNesting) {
		return nil, errors.Errorf("nested more than %d deep", maxNesting)
	}
	return hujson.Standardize(append([]byte(nil), src...))
}

// toFieldError converts an error of encoding/json to a FieldError.
func toFieldError(src []byte, v any, err error, offset int64) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		line, col := position(src, typeErr.Offset)
		return &FieldError{Field: typeErr.Field, Value: typeErr.Value, Cause: "want " + typeErr.Type.String(), Line: line, Col: col}
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		name = strings.Trim(name, `"`)
		e := &FieldError{Field: name, Cause: "unknown field"}
		if near := nearest(name, fieldNames(reflect.TypeOf(v))); near != "" {
			e.Cause = fmt.Sprintf("unknown field; did you mean %q?", near)
		}
		if i := bytes.Index(src, []byte(`"`+name+`"`)); i >= 0 {
			e.Line, e.Col = position(src, int64(i))
		}
		return e
	}
	line, col := position(src, offset)
	return &FieldError{Field: "document", Cause: err.Error(), Line: line, Col: col}
}

func position(src []byte, offset int64) (line, col int) {
	if offset > int64(len(src)) {
		offset = int64(len(src))
	}
	head := src[:offset]
	line = 1 + bytes.Count(head, []byte("\n"))
	col = len(head) - bytes.LastIndexByte(head, '\n')
	return line, col
}

// setPositions sets the positions of errors, as far as hujson finds them by the JSON pointer that
// corresponds to the field's path or to the longest existing prefix of it.
func setPositions(src []byte, errs FieldErrors) {
	root, err := hujson.Parse(src)
	if err != nil {
		return
	}
	for _, e := range errs {
		path := strings.NewReplacer(".", "/", "[", "/", "]", "").Replace(e.Field)
		for ptr := "/" + path; ptr != ""; ptr = ptr[:strings.LastIndexByte(ptr, '/')] {
			if at := root.Find(ptr); at != nil {
				e.Line, e.Col = position(src, int64(at.StartOffset))
				break
			}
		}
	}
}

// fieldNames lists the JSON names of t and of the structs below it.
func fieldNames(t reflect.Type) []string {
	seen := map[reflect.Type]bool{}
	var names []string
	var walk func(reflect.Type)
	walk = func(t reflect.Type) {
		switch t.Kind() {
		case reflect.Pointer, reflect.Slice, reflect.Map:
			walk(t.Elem())
			return
		case reflect.Struct:
		default:
			return
		}
		if seen[t] {
			return
		}
		seen[t] = true
		for f := range t.Fields() {
			name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
			if name != "" {
				names = append(names, name)
			}
			walk(f.Type)
		}
	}
	walk(t)
	sort.Strings(names)
	return names
}

// maxSuggestDistance is the maximum edit distance of a suggested name.
const maxSuggestDistance = 3

func nearest(name string, known []string) string {
	best, bestDist := "", maxSuggestDistance+1
	for _, k := range known {
		if d := editDistance(name, k); d < bestDist {
			best, bestDist = k, d
		}
	}
	return best
}

// editDistance returns the number of bytes to insert, delete, replace or swap with their
// neighbour to turn a into b.
func editDistance(a, b string) int {
	rows := make([][]int, len(a)+1)
	for i := range rows {
		rows[i] = make([]int, len(b)+1)
		rows[i][0] = i
	}
	for j := range rows[0] {
		rows[0][j] = j
	}
	for i := 1; i <= len(a); i++ {
		for j := 1; j <= len(b); j++ {
			change := 1
			if a[i-1] == b[j-1] {
				change = 0
			}
			d := min(rows[i-1][j]+1, rows[i][j-1]+1, rows[i-1][j-1]+change)
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				d = min(d, rows[i-2][j-2]+1)
			}
			rows[i][j] = d
		}
	}
	return rows[len(a)][len(b)]
}
