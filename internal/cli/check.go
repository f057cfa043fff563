package cli

import (
	"bytes"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/sardinedock/sardinedock/demo"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/internal/yamlpb"
	"github.com/sardinedock/sardinedock/record"
	"github.com/sardinedock/sardinedock/settings"
)

// checkCommand validates settings and record files.
type checkCommand struct {
	files []string
}

func (c *checkCommand) declare(app *kingpin.Application) *kingpin.CmdClause {
	clause := app.Command("check", "Validate files of settings and records.")
	clause.Arg("file", "A YAML file.").Required().StringsVar(&c.files)
	return clause
}

func (c *checkCommand) run(out, errs io.Writer) error {
	bad := 0
	for _, file := range c.files {
		data, err := os.ReadFile(file)
		if err != nil {
			return fault.Wrap(err, fault.Invalid, "name a file that can be read", "read %s", file)
		}
		faults := checkFile(data)
		if len(faults) == 0 {
			fmt.Fprintf(out, "%s: good\n", file)
			continue
		}
		bad++
		fmt.Fprintln(errs, settings.Lines(file, faults))
	}
	if bad > 0 {
		return fault.New(fault.Invalid, "fix the lines named above", "%d of %d files are not valid", bad, len(c.files))
	}
	return nil
}

// checkFile validates a file by its type. Records have a schema_version, loads have a work
// field, emulations have emulated_endpoints, and only the settings of hosted instances have a
// store field.
func checkFile(data []byte) []yamlpb.Fault {
	if bytes.Contains(data, []byte("schema_version:")) {
		_, faults := record.ParseYAML(data)
		return faults
	}
	if bytes.Contains(data, []byte("\nwork:")) {
		_, faults := demo.ParseLoad(data)
		return faults
	}
	if bytes.Contains(data, []byte("emulated_endpoints:")) {
		_, faults := demo.ParseEmulation(data)
		return faults
	}
	if bytes.Contains(data, []byte("\nstore:")) {
		_, faults := settings.ParseHosted(data)
		return faults
	}
	_, faults := settings.Parse(data)
	return faults
}
