package cli

import (
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/sardinedock/sardinedock/internal/slopes"
)

// slopesCommand measures what the duties between instances cost.
type slopesCommand struct {
	options slopes.Options
}

func (c *slopesCommand) declare(app *kingpin.Application) *kingpin.CmdClause {
	clause := app.Command("slopes", "Measure bytes, processor time and memory of the duties between instances.").Hidden()
	clause.Flag("part", "What to measure; all parts when left out.").EnumsVar(&c.options.Parts, slopes.PartNames()...)
	clause.Flag("size", "Numbers of instances.").Default("2", "8", "16", "32", "64").IntsVar(&c.options.Sizes)
	clause.Flag("rest", "How long to measure the exchange at rest.").Default("20s").DurationVar(&c.options.Rest)
	clause.Flag("endpoints", "Endpoints whose state each instance holds.").Default("2400").IntVar(&c.options.Endpoints)
	clause.Flag("records", "Records that each instance holds.").Default("1200").IntVar(&c.options.Records)
	clause.Flag("bytes", "Size of a change that is told from peer to peer.").Default("400").IntVar(&c.options.ValueBytes)
	clause.Flag("changes", "Changes of a record to time.").Default("60").IntVar(&c.options.Changes)
	return clause
}

func (c *slopesCommand) run(out, _ io.Writer) error { return slopes.Run(c.options, out) }
