package demo

import (
	"os"

	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/internal/yamlpb"
	"github.com/sardinedock/sardinedock/schema/loadpb"
	"github.com/sardinedock/sardinedock/settings"
)

// LoadSettings reads and validates a file that describes a load. An error of kind fault.Invalid
// lists every fault in the file, one per line.
func LoadSettings(path string) (*loadpb.Load, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "name a file that exists and is readable", "read the load's settings")
	}
	l, faults := ParseLoad(data)
	if len(faults) > 0 {
		return nil, fault.New(fault.Invalid, "correct the lines listed above", "%s", settings.Lines(path, faults))
	}
	return l, nil
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
