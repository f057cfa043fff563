// Command sardinedock routes language-model traffic with long shared prompts.
package main

import (
	"os"

	"github.com/sardinedock/sardinedock/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
