package cli

import (
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/apex/log"

	"github.com/sardinedock/sardinedock/hosted"
	"github.com/sardinedock/sardinedock/logline"
	"github.com/sardinedock/sardinedock/settings"
)

// hostCommand runs one instance on the users' platform until it is told to end.
type hostCommand struct {
	settings string
}

func (c *hostCommand) declare(app *kingpin.Application) *kingpin.CmdClause {
	clause := app.Command("host", "Run one instance on the users' platform until SIGTERM or SIGINT.")
	clause.Flag("settings", "The settings file.").Envar("SARDINEDOCK_CONFIG").Required().StringVar(&c.settings)
	return clause
}

func (c *hostCommand) run(out, _ io.Writer) error {
	s, err := settings.LoadHosted(c.settings)
	if err != nil {
		return err
	}
	lines := logline.New(out, s.GetInstance())
	defer lines.Close()
	log.SetHandler(lines)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	i, err := hosted.Start(s)
	if err != nil {
		return err
	}
	for sig := range signals {
		if sig == syscall.SIGHUP {
			c.reload()
			continue
		}
		i.Shutdown()
		return nil
	}
	return nil
}

// reload checks the settings file again. Addresses and bounds hold for the life
// of a process, so a change is put off until its next start, and said so.
func (c *hostCommand) reload() {
	if _, err := settings.LoadHosted(c.settings); err != nil {
		log.WithError(err).Error("settings refused; those before stay in force")
		return
	}
	log.Info("settings read again; changes take effect at the next start")
}
