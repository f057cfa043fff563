package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/sardinedock/sardinedock/objectapi"
	"github.com/sardinedock/sardinedock/status"
)

// statusCommand prints the status objects that instances write to the object API.
type statusCommand struct {
	store   string
	timeout time.Duration
	report  string
}

func (c *statusCommand) declare(app *kingpin.Application) *kingpin.CmdClause {
	clause := app.Command("status", "Print the status objects: what is in force, what was rejected and why, and recent decisions.")
	clause.Flag("store", "The object API's address.").Required().StringVar(&c.store)
	clause.Flag("timeout", "How long to wait for the object API.").Default("2s").DurationVar(&c.timeout)
	clause.Flag("report", "Format of the report.").Default("text").EnumVar(&c.report, "text", "json")
	return clause
}

func (c *statusCommand) run(out, _ io.Writer) error {
	store := objectapi.NewClient(objectapi.Config{Address: c.store, Timeout: c.timeout})
	list, err := status.Read(context.Background(), store)
	if err != nil {
		return err
	}
	if c.report == "json" {
		return json.NewEncoder(out).Encode(list)
	}
	if len(list) == 0 {
		_, err := fmt.Fprintln(out, "no status yet: no instance has told one")
		return err
	}
	for _, n := range list {
		if err := n.WriteText(out, time.Now()); err != nil {
			return err
		}
	}
	return nil
}
