package cli

import (
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/internal/account"
)

// accountCommand summarises failed and slow requests from the logs of all instances.
type accountCommand struct {
	files  []string
	window time.Duration
	slow   time.Duration
	worst  int
	plot   string
}

func (c *accountCommand) declare(app *kingpin.Application) *kingpin.CmdClause {
	clause := app.Command("account", "Summarise failed and slow requests by route, time and reason, from the logs of hosted instances.")
	clause.Flag("window", "Length of one time window.").Default("2s").DurationVar(&c.window)
	clause.Flag("slow", "Time above which a first token, or an answer without tokens, counts as slow; 0 disables the check.").Default("600ms").DurationVar(&c.slow)
	clause.Flag("worst", "How many windows to print, the worst first.").Default("10").IntVar(&c.worst)
	clause.Flag("plot", "Also plot load, refusals, prompt work and time to first token by second into this file, as .svg or .png.").StringVar(&c.plot)
	clause.Arg("log", "Log files of all instances.").Required().StringsVar(&c.files)
	return clause
}

func (c *accountCommand) run(out, _ io.Writer) error {
	if c.window <= 0 || c.worst < 0 {
		return fault.New(fault.Invalid, "give a window above 0 and a count of 0 or more", "window %v, worst %d", c.window, c.worst)
	}
	var l account.Log
	for _, name := range c.files {
		if err := readInto(&l, name); err != nil {
			return err
		}
	}
	l.Finish()
	if len(l.Requests) == 0 {
		return fault.New(fault.NotFound, "give logs of hosted instances", "no line tells of a request; %d lines were read", l.Lines)
	}
	l.Write(out, account.Options{Window: c.window, Slow: c.slow, Worst: c.worst})
	if c.plot == "" {
		return nil
	}
	return c.draw(&l)
}

func readInto(l *account.Log, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "name a file that can be read", "read a log")
	}
	defer func() { _ = f.Close() }()
	return fault.Wrap(l.Read(f), fault.Invalid, "look at the file", "read %s", name)
}

func (c *accountCommand) draw(l *account.Log) error {
	f, err := os.Create(c.plot)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "name a file that can be written", "draw the plot")
	}
	if err := l.Plot(f, c.plot); err != nil {
		_ = f.Close()
		return fault.Wrap(err, fault.Internal, "report it with the log", "draw the plot")
	}
	return fault.Wrap(f.Close(), fault.Unavailable, "look at the disk", "write the plot")
}
