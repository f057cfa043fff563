package cli

import (
	"encoding/json"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/sardinedock/sardinedock/demo"
	"github.com/sardinedock/sardinedock/fault"
)

// loadCommand drives a running instance.
type loadCommand struct {
	target   string
	settings string
	report   string
}

func (c *loadCommand) declare(app *kingpin.Application) *kingpin.CmdClause {
	clause := app.Command("load", "Drive a running instance, open loop, and report what callers got.")
	clause.Flag("target", "The instance's, or the balancer's, address for callers.").Required().StringVar(&c.target)
	clause.Flag("settings", "The file that describes the load.").Required().StringVar(&c.settings)
	clause.Flag("report", "The report's form.").Default("text").EnumVar(&c.report, "text", "json")
	return clause
}

func (c *loadCommand) run(out, errs io.Writer) error {
	l, err := demo.LoadSettings(c.settings)
	if err != nil {
		return err
	}
	ctx, stop := untilTold()
	defer stop()
	return writeReport(out, demo.RunLoad(ctx, c.target, l, errs), c.report)
}

// writeReport prints a report; a broken invariant is an error.
func writeReport(out io.Writer, r *demo.Report, form string) error {
	var err error
	if form == "json" {
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
