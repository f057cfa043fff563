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

// settingsLook is the time between two looks at whether the settings file has changed,
// which it may without any signal.
const settingsLook = 2 * time.Second

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
	// First of all: a process that is not prepared for a signal dies of it, and the
	// platform may change the settings, or end the process, while it is starting. Each
	// kind has a channel of its own, where one signal may wait: a series of one kind is
	// as good as its last, and must not push out another kind.
	end, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(end, syscall.SIGTERM, os.Interrupt)
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
	case <-end:
		log.Info("told to end before the start")
		return nil
	default:
	}
	i, err := hosted.Start(s)
	if err != nil {
		return err
	}
	look := time.NewTicker(settingsLook)
	defer look.Stop()
	for {
		select {
		case <-end:
			i.Shutdown()
			return nil
		case <-reload:
			file.changed()
			c.reload(i)
		case <-look.C:
			if file.changed() {
				c.reload(i)
			}
		}
	}
}

// reload reads the settings file again and has the instance take it in.
func (c *hostCommand) reload(i *hosted.Instance) {
	s, err := settings.LoadHosted(c.settings)
	if err != nil {
		log.WithError(err).Error("settings refused; those before stay in force")
		return
	}
	log.Info("settings read again")
	i.Reload(s)
}

// watchedFile notices that a file has been written.
type watchedFile struct {
	path string
	at   time.Time
	size int64
}

func newWatchedFile(path string) *watchedFile {
	f := &watchedFile{path: path}
	f.changed()
	return f
}

// changed reports whether the file is another one than at the last call. One that is
// missing, as in the middle of its replacement, has not changed yet.
func (f *watchedFile) changed() bool {
	info, err := os.Stat(f.path)
	if err != nil {
		return false
	}
	changed := !info.ModTime().Equal(f.at) || info.Size() != f.size
	f.at, f.size = info.ModTime(), info.Size()
	return changed
}
