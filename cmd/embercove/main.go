// Command embercove is the command-line tool for operators.
package main

import (
	"os"

	"github.com/embercove/embercove/tool"
)

func main() { os.Exit(tool.Main(os.Args[1:], os.Stdout, os.Stderr)) }
