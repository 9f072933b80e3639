package tool

import (
	"bytes"
	"flag"
	"fmt"
	"os"

	"github.com/embercove/embercove/config"
)

// check reads files and says what is wrong with them, with line and column.
// A file with a "host" field is taken for settings, any other for a document.
func (t *tool) check(fs *flag.FlagSet, args []string) error {
	kind := fs.String("kind", "auto", "auto, settings or document")
	if err := parse(fs, args, true); err != nil {
		return err
	}
	if fs.NArg() == 0 {
		return errUsage("name at least one file")
	}
	bad := false
	for _, path := range fs.Args() {
		src, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		what, err := checkOne(src, *kind)
		if err != nil {
			bad = true
			fmt.Fprintf(t.out, "%s: %s: not valid\n", path, what)
			for line := range bytes.Lines([]byte(err.Error())) {
				fmt.Fprintf(t.out, "  %s\n", bytes.TrimRight(line, "\n"))
			}
			continue
		}
		fmt.Fprintf(t.out, "%s: %s: valid\n", path, what)
	}
	if bad {
		return errNo
	}
	return nil
}

func checkOne(src []byte, kind string) (what string, err error) {
	if kind == "settings" || kind == "auto" && bytes.Contains(src, []byte(`"peers_address"`)) {
		_, err := config.ParseSettings(src)
		return "settings", err
	}
	_, err = config.NewView(1, src)
	return "document", err
}
