package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/sardinedock/sardinedock/emulator"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/internal/yamlpb"
	"github.com/sardinedock/sardinedock/record"
	"github.com/sardinedock/sardinedock/settings"
)

// emulateCommand serves the stand-ins of the platform and of the endpoints.
type emulateCommand struct {
	storeAddr string
	records   string
}

func (c *emulateCommand) declare(app *kingpin.Application) *kingpin.CmdClause {
	clause := app.Command("emulate", "Serve stand-ins of the object API and of the endpoints that a records file names.")
	clause.Flag("store", "The object API's address.").Default("127.0.0.1:8090").StringVar(&c.storeAddr)
	clause.Flag("records", "The records file.").Required().StringVar(&c.records)
	return clause
}

func (c *emulateCommand) run(out, _ io.Writer) error {
	data, err := os.ReadFile(c.records)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "name a file that can be read", "read the records")
	}
	records, faults := record.ParseYAML(data)
	if len(faults) > 0 {
		return invalidFile(c.records, faults)
	}
	e, err := emulator.Start(c.storeAddr, records)
	if err != nil {
		return err
	}
	defer e.Close()
	fmt.Fprintf(out, "object API on %s, %d endpoints\n", e.Store.Addr(), len(e.Engines))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	<-ctx.Done()
	return nil
}

func invalidFile(path string, faults []yamlpb.Fault) error {
	return fault.New(fault.Invalid, "mend the lines named above", "%s", settings.Lines(path, faults))
}
