package cli

import (
	"context"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/fault"
)

// dumpTimeout bounds the wait for a dump; an instance that takes longer is considered stuck.
const dumpTimeout = 5 * time.Second

// dumpCommand prints the internal state of a running instance.
type dumpCommand struct {
	instance string
}

func (c *dumpCommand) declare(app *kingpin.Application) *kingpin.CmdClause {
	clause := app.Command("dump", "Print the state of a running instance as JSON.")
	clause.Flag("instance", "The instance's admin address, IP:port.").Required().StringVar(&c.instance)
	return clause
}

func (c *dumpCommand) run(out, _ io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), dumpTimeout)
	defer cancel()
	relay := endpoint.NewRelay(c.instance, dumpTimeout, 0)
	defer relay.Close()
	status, body, err := relay.RoundTrip(ctx, endpoint.Outgoing{Head: []byte("GET /debug/state HTTP/1.1\r\nHost: " + c.instance + "\r\n\r\n")}, nil)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "check the address (listen.admin of its settings) and that the instance runs", "dump of %s", c.instance)
	}
	if status != fasthttp.StatusOK {
		return fault.New(fault.Unavailable, "name an instance's admin address, not its callers' one", "dump of %s: status %d", c.instance, status)
	}
	_, err = out.Write(append(body, '\n'))
	return err
}
