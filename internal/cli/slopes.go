package cli

import (
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/sardinedock/sardinedock/internal/slopes"
)

// slopesCommand measures the resource costs of the communication between instances.
type slopesCommand struct {
	options slopes.Options
}

func (c *slopesCommand) declare(app *kingpin.Application) *kingpin.CmdClause {
	clause := app.Command("slopes", "Measure bytes, CPU time and memory of the communication between instances.").Hidden()
	clause.Flag("part", "What to measure; all parts if omitted.").EnumsVar(&c.options.Parts, slopes.PartNames()...)
	clause.Flag("size", "Numbers of instances to measure with.").Default("2", "8", "16", "32", "64").IntsVar(&c.options.Sizes)
	clause.Flag("rest", "How long to measure the exchange without load.").Default("20s").DurationVar(&c.options.Rest)
	clause.Flag("endpoints", "Endpoints whose state each instance holds.").Default("2400").IntVar(&c.options.Endpoints)
	clause.Flag("records", "Records that each instance holds.").Default("1200").IntVar(&c.options.Records)
	clause.Flag("bytes", "Size of a change that is propagated between peers.").Default("400").IntVar(&c.options.ValueBytes)
	clause.Flag("changes", "Number of record changes to time.").Default("60").IntVar(&c.options.Changes)
	return clause
}

func (c *slopesCommand) run(out, _ io.Writer) error { return slopes.Run(c.options, out) }
