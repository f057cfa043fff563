package cli

import (
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/sardinedock/sardinedock/demo"
	"github.com/sardinedock/sardinedock/emulator"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/internal/yamlpb"
	"github.com/sardinedock/sardinedock/record"
	"github.com/sardinedock/sardinedock/schema/recordspb"
	"github.com/sardinedock/sardinedock/settings"
)

// emulateCommand serves emulations of the object API and of the endpoints.
type emulateCommand struct {
	storeAddr string
	records   string
	settings  string
	pace      float64
	seed      int64
	reads     float64
	writes    float64
}

func (c *emulateCommand) declare(app *kingpin.Application) *kingpin.CmdClause {
	clause := app.Command("emulate", "Emulate the object API and the endpoints that a records file names.")
	clause.Flag("store", "The object API's address.").Default("127.0.0.1:8090").StringVar(&c.storeAddr)
	clause.Flag("records", "The records file.").Required().StringVar(&c.records)
	clause.Flag("settings", "A file that describes how endpoints deviate from constant speed and from reading at full speed.").StringVar(&c.settings)
	clause.Flag("pace", "Speed of the emulation relative to real time.").Default("1").Float64Var(&c.pace)
	clause.Flag("seed", "Seed of probabilistic faults.").Default("1").Int64Var(&c.seed)
	clause.Flag("reads-per-second", "Reads a second above which the object API answers 429; 0 sets no limit.").Default("2000").Float64Var(&c.reads)
	clause.Flag("writes-per-second", "Writes a second above which the object API answers 429; 0 sets no limit.").Default("300").Float64Var(&c.writes)
	return clause
}

// config returns the emulator's configuration. Incarnations start from the current time, so
// that they also increase from one run of this process to the next.
func (c *emulateCommand) config(records []*recordspb.Record) (emulator.Config, error) {
	endpoints, err := c.endpoints(records)
	pace := emulator.Pace(c.pace)
	return emulator.Config{
		Endpoints: endpoints,
		Store:     emulator.StoreConfig{ReadsPerSecond: c.reads, WritesPerSecond: c.writes, Pace: pace, Seed: c.seed},
		Engine:    emulator.EngineConfig{FirstIncarnation: uint64(time.Now().Unix()), Pace: pace, Seed: c.seed},
		Service:   emulator.ServiceConfig{Pace: pace},
	}, err
}

// endpoints reads the endpoints' behaviours from the settings file, if there is one. Each name has
// to be that of an endpoint in the records: a misspelt one would have no effect.
func (c *emulateCommand) endpoints(records []*recordspb.Record) (map[string]emulator.Behaviour, error) {
	if c.settings == "" {
		return nil, nil
	}
	s, err := demo.EmulationSettings(c.settings)
	if err != nil {
		return nil, err
	}
	known := map[string]bool{"": true}
	for _, r := range records {
		for _, ep := range slices.Concat(r.GetPool().GetEndpoints(), r.GetService().GetEndpoints()) {
			known[ep.GetName()] = true
		}
	}
	endpoints := map[string]emulator.Behaviour{}
	for _, x := range s.GetEmulatedEndpoints() {
		if !known[x.GetName()] {
			return nil, fault.New(fault.Invalid, "name an endpoint of "+c.records, "%s: emulated_endpoints: no endpoint has the name %q", c.settings, x.GetName())
		}
		endpoints[x.GetName()] = emulator.Behaviour{
			Speed:       emulator.Speed{Slowest: x.GetSlowest(), Interval: time.Duration(x.GetChangeMs()) * time.Millisecond, Seed: uint64(c.seed)},
			ReportsLoad: x.GetReportsLoad(),
			ReadRate:    float64(x.GetReadBytesPerSecond()),
			WorkTime:    time.Duration(x.GetWorkMs()) * time.Millisecond,
		}
	}
	return endpoints, nil
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
	cfg, err := c.config(records)
	if err != nil {
		return err
	}
	e, err := emulator.StartWith(c.storeAddr, records, cfg)
	if err != nil {
		return err
	}
	defer e.Close()
	fmt.Fprintf(out, "object API on %s, %d engines, %d service endpoints\n", e.Store.Addr(), len(e.Engines), len(e.Services))
	ctx, stop := interruptContext()
	defer stop()
	<-ctx.Done()
	return nil
}

func invalidFile(path string, faults []yamlpb.Fault) error {
	return fault.New(fault.Invalid, "fix the lines named above", "%s", settings.Lines(path, faults))
}
