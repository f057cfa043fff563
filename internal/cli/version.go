package cli

import (
	"fmt"
	"io"
	"runtime"

	"github.com/alecthomas/kingpin/v2"

	"github.com/sardinedock/sardinedock/record"
)

// Version is the program's version.
const Version = "0.1.0"

type versionCommand struct{}

func (c *versionCommand) declare(app *kingpin.Application) *kingpin.CmdClause {
	return app.Command("version", "Print the version.")
}

func (c *versionCommand) run(out, _ io.Writer) error {
	_, err := fmt.Fprintf(out, "sardinedock %s, record schema %d, %s\n", Version, record.SchemaVersion, runtime.Version())
	return err
}
