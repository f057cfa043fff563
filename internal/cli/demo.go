package cli

import (
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/sardinedock/sardinedock/demo"
)

// demoCommand runs instances against an embedded emulator of the platform and the endpoints.
type demoCommand struct {
	options demo.Options
	report  string
}

func (c *demoCommand) declare(app *kingpin.Application) *kingpin.CmdClause {
	clause := app.Command("demo", "Run instances and emulated back ends in one process and send a burst of requests through them.")
	clause.Flag("instances", "Entry instances.").Default("7").IntVar(&c.options.Instances)
	clause.Flag("endpoints", "Model endpoints; 0 is the scenario's usual number.").Default("0").IntVar(&c.options.Endpoints)
	clause.Flag("seconds", "How long to send.").Default("10").IntVar(&c.options.Seconds)
	clause.Flag("seed", "Seed of the requests.").Default("1").Int64Var(&c.options.Seed)
	clause.Flag("scenario", "What to send.").Default("kwabena").EnumVar(&c.options.Scenario, demo.Scenarios...)
	clause.Flag("report", "Format of the report.").Default("text").EnumVar(&c.report, "text", "json")
	return clause
}

func (c *demoCommand) run(out, errs io.Writer) error {
	ctx, stop := interruptContext()
	defer stop()
	r, err := demo.Run(ctx, c.options, errs)
	if err != nil {
		return err
	}
	return writeReport(out, r, c.report)
}
