package settings

import (
	"os"

	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/internal/yamlpb"
	"github.com/sardinedock/sardinedock/schema/settingspb"
)

// LoadHosted reads and validates the settings file of a hosted instance. An error of kind
// fault.Invalid lists every fault of the file, one per line.
func LoadHosted(path string) (*settingspb.Hosted, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "give the path of a readable file", "read the settings file")
	}
	h, faults := ParseHosted(data)
	if len(faults) > 0 {
		return nil, fault.New(fault.Invalid, "fix the lines named above", "%s", Lines(path, faults))
	}
	return h, nil
}

// ParseHosted decodes the settings of a hosted instance, applies the defaults and returns the
// faults found.
func ParseHosted(data []byte) (*settingspb.Hosted, []yamlpb.Fault) {
	return yamlpb.DecodeOne(data, func() *settingspb.Hosted { return &settingspb.Hosted{} }, singleDocumentRemedy)
}
