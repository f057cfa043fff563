package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/sardinedock/sardinedock/instance"
	"github.com/sardinedock/sardinedock/settings"
)

// serveCommand runs one entry instance until SIGTERM or SIGINT.
type serveCommand struct {
	settings string
}

func (c *serveCommand) declare(app *kingpin.Application) *kingpin.CmdClause {
	clause := app.Command("serve", "Run one entry instance until SIGTERM or SIGINT.")
	clause.Flag("settings", "The settings file.").Required().StringVar(&c.settings)
	return clause
}

func (c *serveCommand) run(out, _ io.Writer) error {
	// There is nothing to reload: records are watched, and settings hold for the lifetime of
	// the process. Unhandled, SIGHUP would kill the process and its callers' requests.
	signal.Ignore(syscall.SIGHUP)
	s, err := settings.Load(c.settings)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	i, err := instance.Start(ctx, s)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "serving callers on %s\n", i.Callers())
	<-ctx.Done()
	// A second signal cuts the graceful shutdown short.
	shutdownCtx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	return i.Shutdown(shutdownCtx)
}
