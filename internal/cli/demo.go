package cli

import (
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/sardinedock/sardinedock/demo"
)

// demoCommand runs the main job on embedded stand-ins.
type demoCommand struct {
	options demo.Options
	report  string
}

func (c *demoCommand) declare(app *kingpin.Application) *kingpin.CmdClause {
	clause := app.Command("demo", "Run instances and stand-ins in one process and drive a burst through them.")
	clause.Flag("instances", "Entry instances.").Default("7").IntVar(&c.options.Instances)
	clause.Flag("endpoints", "Model endpoints; 0 is the scenario's usual number.").Default("0").IntVar(&c.options.Endpoints)
	clause.Flag("seconds", "How long to send.").Default("10").IntVar(&c.options.Seconds)
	clause.Flag("seed", "Seed of the requests.").Default("1").Int64Var(&c.options.Seed)
	clause.Flag("scenario", "What to send.").Default("kwabena").EnumVar(&c.options.Scenario, demo.Scenarios...)
	clause.Flag("report", "The report's form.").Default("text").EnumVar(&c.report, "text", "json")
	return clause
}

func (c *demoCommand) run(out, errs io.Writer) error {
	ctx, stop := untilTold()
	defer stop()
	r, err := demo.Run(ctx, c.options, errs)
	if err != nil {
		return err
	}
	return writeReport(out, r, c.report)
}
