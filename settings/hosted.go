package settings

import (
	"os"

	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/internal/yamlpb"
	"github.com/sardinedock/sardinedock/schema/settingspb"
)

// LoadHosted reads and checks the settings file of a hosted instance. An error
// of kind fault.Invalid lists every fault of the file, one a line.
func LoadHosted(path string) (*settingspb.Hosted, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "name a file that can be read", "read the settings")
	}
	h, faults := ParseHosted(data)
	if len(faults) > 0 {
		return nil, fault.New(fault.Invalid, "mend the lines named above", "%s", Lines(path, faults))
	}
	return h, nil
}

// ParseHosted reads the settings of a hosted instance, fills in the defaults and
// returns what is wrong.
func ParseHosted(data []byte) (*settingspb.Hosted, []yamlpb.Fault) {
	return yamlpb.DecodeOne(data, func() *settingspb.Hosted { return &settingspb.Hosted{} }, oneDocument)
}
