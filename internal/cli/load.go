package cli

import (
	"encoding/json"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/sardinedock/sardinedock/demo"
	"github.com/sardinedock/sardinedock/fault"
)

// loadCommand sends a load to a running instance.
type loadCommand struct {
	target   string
	settings string
	report   string
}

func (c *loadCommand) declare(app *kingpin.Application) *kingpin.CmdClause {
	clause := app.Command("load", "Send an open-loop load to a running instance and report the outcomes.")
	clause.Flag("target", "Address for callers of the instance or of its load balancer.").Required().StringVar(&c.target)
	clause.Flag("settings", "The file that describes the load.").Required().StringVar(&c.settings)
	clause.Flag("report", "Format of the report.").Default("text").EnumVar(&c.report, "text", "json")
	return clause
}

func (c *loadCommand) run(out, errs io.Writer) error {
	l, err := demo.LoadSettings(c.settings)
	if err != nil {
		return err
	}
	ctx, stop := interruptContext()
	defer stop()
	return writeReport(out, demo.RunLoad(ctx, c.target, l, errs), c.report)
}

// writeReport prints a report in the given format. It returns an error if an invariant was broken.
func writeReport(out io.Writer, r *demo.Report, format string) error {
	var err error
	if format == "json" {
		err = json.NewEncoder(out).Encode(r)
	} else {
		err = r.WriteText(out)
	}
	if err != nil {
		return err
	}
	if broken := r.Broken(); broken != "" {
		return fault.New(fault.Internal, "report the seed and the scenario", "an invariant was broken: %s", broken)
	}
	return nil
}
