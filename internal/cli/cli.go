// Package cli implements the command line: it parses flags and runs the commands.
package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/sardinedock/sardinedock/fault"
	_ "github.com/sardinedock/sardinedock/internal/startsignal" // the platform may send SIGHUP while an instance starts
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// command is one subcommand.
type command interface {
	declare(app *kingpin.Application) *kingpin.CmdClause
	run(out, errs io.Writer) error
}

// Run parses and runs one command line and returns the exit code.
func Run(args []string, out, errs io.Writer) int {
	app := kingpin.New("sardinedock", "A router for language-model traffic with long shared prompts.")
	// By default --help exits the process from within Parse. Terminate replaces that exit, so
	// Run has to return by itself; otherwise "demo --help" would print the help and then run
	// the demo.
	helpShown := false
	app.UsageWriter(errs).ErrorWriter(errs).Terminate(func(int) { helpShown = true })
	commands := map[string]command{}
	for _, c := range []command{
		&serveCommand{}, &hostCommand{}, &explainCommand{}, &accountCommand{}, &checkCommand{}, &emulateCommand{}, &demoCommand{}, &loadCommand{},
		&dumpCommand{}, &statusCommand{}, &slopesCommand{}, &versionCommand{},
	} {
		clause := c.declare(app)
		commands[clause.FullCommand()] = c
	}
	name, err := app.Parse(args)
	if helpShown {
		return exitOK
	}
	if err != nil {
		fmt.Fprintf(errs, "sardinedock: %v; see sardinedock --help\n", err)
		return exitUsage
	}
	c, ok := commands[name]
	if !ok {
		return exitOK
	}
	if err := c.run(out, errs); err != nil {
		return report(errs, err)
	}
	return exitOK
}

// interruptContext returns a context that is cancelled by SIGTERM, SIGINT or SIGHUP.
func interruptContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
}

// report prints an error with its remedy and returns the exit code.
func report(errs io.Writer, err error) int {
	fmt.Fprintf(errs, "sardinedock: %v\n", err)
	if remedy := fault.Remedy(err); remedy != "" {
		fmt.Fprintf(errs, "remedy: %s\n", remedy)
	}
	if fault.Is(err, fault.Invalid) {
		return exitUsage
	}
	return exitFailure
}
