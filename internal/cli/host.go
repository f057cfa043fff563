package cli

import (
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/apex/log"

	"github.com/sardinedock/sardinedock/hosted"
	"github.com/sardinedock/sardinedock/logline"
	"github.com/sardinedock/sardinedock/settings"
)

// settingsPollInterval is the interval of checks for a changed settings file; the platform may
// rewrite the file without sending a signal.
const settingsPollInterval = 2 * time.Second

// hostCommand runs one instance on the users' platform until SIGTERM or SIGINT.
type hostCommand struct {
	settings string
}

func (c *hostCommand) declare(app *kingpin.Application) *kingpin.CmdClause {
	clause := app.Command("host", "Run one instance on the users' platform until SIGTERM or SIGINT.")
	clause.Flag("settings", "The settings file.").Envar("SARDINEDOCK_CONFIG").Required().StringVar(&c.settings)
	return clause
}

func (c *hostCommand) run(out, _ io.Writer) error {
	// Register for signals before anything else: an unhandled signal terminates the process,
	// and the platform may send one while it is still starting. Each kind has its own channel
	// with a buffer of one: repeated signals of a kind may be merged, but must not crowd out
	// the other kind.
	stop, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	signal.Notify(reload, syscall.SIGHUP)
	file := newWatchedFile(c.settings)
	s, err := settings.LoadHosted(c.settings)
	if err != nil {
		return err
	}
	lines := logline.New(out, s.GetInstance())
	defer lines.Close()
	log.SetHandler(lines)
	select {
	case <-stop:
		log.Info("received a termination signal before the start")
		return nil
	default:
	}
	hosted.LimitMemory(s)
	i, err := hosted.Start(s)
	if err != nil {
		return err
	}
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	for {
		select {
		case <-stop:
			i.Shutdown()
			return nil
		case <-reload:
			file.changed()
			c.reload(i)
		case <-poll.C:
			if file.changed() {
				c.reload(i)
			}
		}
	}
}

// reload reads the settings file again and applies it to the instance.
func (c *hostCommand) reload(i *hosted.Instance) {
	s, err := settings.LoadHosted(c.settings)
	if err != nil {
		log.WithError(err).Error("settings file is invalid; keeping the previous settings")
		return
	}
	log.Info("settings reloaded")
	i.Reload(s)
}

// watchedFile detects changes of a file by its modification time and size.
type watchedFile struct {
	path    string
	modTime time.Time
	size    int64
}

func newWatchedFile(path string) *watchedFile {
	f := &watchedFile{path: path}
	f.changed()
	return f
}

// changed reports whether the file has changed since the last call. A missing file, as in the
// middle of a replacement, counts as unchanged.
func (f *watchedFile) changed() bool {
	info, err := os.Stat(f.path)
	if err != nil {
		return false
	}
	changed := !info.ModTime().Equal(f.modTime) || info.Size() != f.size
	f.modTime, f.size = info.ModTime(), info.Size()
	return changed
}
