// Package settings reads the static settings file of an instance.
package settings

import (
	"os"
	"strings"

	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/internal/yamlpb"
	"github.com/sardinedock/sardinedock/schema/settingspb"
)

// Load reads and validates the file. An error of kind fault.Invalid lists every fault of the
// file, one per line.
func Load(path string) (*settingspb.Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "give the path of a readable file", "read the settings file")
	}
	s, faults := Parse(data)
	if len(faults) > 0 {
		return nil, fault.New(fault.Invalid, "fix the lines named above", "%s", Lines(path, faults))
	}
	return s, nil
}

// singleDocumentRemedy is the remedy for a file with no document or more than one.
const singleDocumentRemedy = "write one document of settings"

// Parse decodes settings, applies the defaults and returns the faults found.
func Parse(data []byte) (*settingspb.Settings, []yamlpb.Fault) {
	s, faults := yamlpb.DecodeOne(data, func() *settingspb.Settings { return &settingspb.Settings{} }, singleDocumentRemedy)
	if s == nil {
		return nil, faults
	}
	return s, append(faults, checkTLS(s.GetFleetTls())...)
}

// checkTLS rejects an incomplete TLS configuration: the instance would run without checks that
// the operator believes to be on.
func checkTLS(t *settingspb.Tls) []yamlpb.Fault {
	set := 0
	for _, file := range []string{t.GetCertFile(), t.GetKeyFile(), t.GetCaFile()} {
		if file != "" {
			set++
		}
	}
	if set == 0 || set == 3 {
		return nil
	}
	return []yamlpb.Fault{{
		Path:   "fleet_tls",
		Found:  "only some of cert_file, key_file and ca_file are set",
		Remedy: "set all three, or none for plain TCP",
	}}
}

// Lines formats faults, one per line, each prefixed with the file's name.
func Lines(path string, faults []yamlpb.Fault) string {
	lines := make([]string, 0, len(faults))
	for _, f := range faults {
		lines = append(lines, path+": "+f.String())
	}
	return strings.Join(lines, "\n")
}
