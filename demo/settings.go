package demo

import (
	"fmt"
	"os"

	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/internal/yamlpb"
	"github.com/sardinedock/sardinedock/schema/loadpb"
	"github.com/sardinedock/sardinedock/settings"
)

// LoadSettings reads and validates a file that describes a load. An error of kind fault.Invalid
// lists every fault in the file, one per line.
func LoadSettings(path string) (*loadpb.Load, error) { return readSettings(path, "load", ParseLoad) }

// EmulationSettings does the same for a file that describes emulated endpoints.
func EmulationSettings(path string) (*loadpb.Emulation, error) {
	return readSettings(path, "emulation", ParseEmulation)
}

func readSettings[T any](path, what string, parse func([]byte) (*T, []yamlpb.Fault)) (*T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "name a file that exists and is readable", "read the %s's settings", what)
	}
	parsed, faults := parse(data)
	if len(faults) > 0 {
		return nil, fault.New(fault.Invalid, "correct the lines listed above", "%s", settings.Lines(path, faults))
	}
	return parsed, nil
}

// ParseLoad decodes a load, fills in the defaults and returns the faults in it.
func ParseLoad(data []byte) (*loadpb.Load, []yamlpb.Fault) {
	l, faults := yamlpb.DecodeOne(data, func() *loadpb.Load { return &loadpb.Load{} }, "write exactly one YAML document")
	if l == nil {
		return nil, faults
	}
	for _, w := range l.GetWork() {
		if (w.GetModel() == "") == (w.GetServicePath() == "") {
			faults = append(faults, yamlpb.Fault{
				Path:   "work " + w.GetName(),
				Found:  "not exactly one of model and service_path is set",
				Remedy: "write model for requests to engines, or service_path for calls to a plain service",
			})
		}
	}
	return l, faults
}

// ParseEmulation decodes a description of emulated endpoints, fills in the defaults and returns the
// faults in it.
func ParseEmulation(data []byte) (*loadpb.Emulation, []yamlpb.Fault) {
	e, faults := yamlpb.DecodeOne(data, func() *loadpb.Emulation { return &loadpb.Emulation{} }, "write exactly one YAML document")
	named := map[string]bool{}
	for _, x := range e.GetEmulatedEndpoints() {
		if named[x.GetName()] {
			faults = append(faults, yamlpb.Fault{
				Path:   "emulated_endpoints",
				Found:  fmt.Sprintf("two entries with the name %q", x.GetName()),
				Remedy: "write one entry for each name, and one without a name for all others",
			})
		}
		named[x.GetName()] = true
	}
	return e, faults
}
