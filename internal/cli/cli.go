// Package cli is the command line: it reads the flags and calls the library.
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
	_ "github.com/sardinedock/sardinedock/internal/startsignal" // instances are told to reload while they start
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// command is one subcommand: it declares its flags and runs.
type command interface {
	declare(app *kingpin.Application) *kingpin.CmdClause
	run(out, errs io.Writer) error
}

// Run runs one command line and returns the exit code.
func Run(args []string, out, errs io.Writer) int {
	app := kingpin.New("sardinedock", "A router for language-model traffic with long shared prompts.")
	// Help ends the program from within Parse. Here it ends Run instead; without
	// that, "demo --help" would print the help and then run the demo.
	helped := false
	app.UsageWriter(errs).ErrorWriter(errs).Terminate(func(int) { helped = true })
	commands := map[string]command{}
	for _, c := range []command{
		&serveCommand{}, &hostCommand{}, &explainCommand{}, &accountCommand{}, &checkCommand{}, &emulateCommand{}, &demoCommand{}, &loadCommand{},
		&dumpCommand{}, &statusCommand{}, &slopesCommand{}, &versionCommand{},
	} {
		clause := c.declare(app)
		commands[clause.FullCommand()] = c
	}
	name, err := app.Parse(args)
	if helped {
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

// untilTold returns a context that ends when the user or the terminal ends the command.
func untilTold() (context.Context, context.CancelFunc) {
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
