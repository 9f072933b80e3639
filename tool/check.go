package tool

import (
	"bytes"
	"flag"
	"fmt"
	"os"

	"github.com/embercove/embercove/config"
)

// check validates files and prints their errors with line and column. Unless
// -kind says otherwise, a file that contains "peers_address" is checked as
// settings and any other as a configuration document.
func (t *tool) check(fs *flag.FlagSet, args []string) error {
	kind := fs.String("kind", "auto", "auto, settings or document")
	if err := parse(fs, args, true); err != nil {
		return err
	}
	if fs.NArg() == 0 {
		return usageError("name at least one file")
	}
	invalid := false
	for _, path := range fs.Args() {
		src, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		detected, err := checkSource(src, *kind)
		if err != nil {
			invalid = true
			fmt.Fprintf(t.out, "%s: %s: not valid\n", path, detected)
			for line := range bytes.Lines([]byte(err.Error())) {
				fmt.Fprintf(t.out, "  %s\n", bytes.TrimRight(line, "\n"))
			}
			continue
		}
		fmt.Fprintf(t.out, "%s: %s: valid\n", path, detected)
	}
	if invalid {
		return errFailed
	}
	return nil
}

func checkSource(src []byte, kind string) (what string, err error) {
	if kind == "settings" || kind == "auto" && bytes.Contains(src, []byte(`"peers_address"`)) {
		_, err := config.ParseSettings(src)
		return "settings", err
	}
	_, err = config.NewView(1, src)
	return "document", err
}
