package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sardinedock/sardinedock/fault"
)

const minimal = `
fleet: accra
data_centre: accra-1
platform: {address: "127.0.0.1:8090"}
`

func TestDefaultsApply(t *testing.T) {
	s, faults := Parse([]byte(minimal))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	if got := s.GetListen().GetCallers(); got != "127.0.0.1:8080" {
		t.Errorf("listen.callers is %q", got)
	}
	if got := s.GetLimits().GetSilenceMs(); got != 3000 {
		t.Errorf("limits.silence_ms is %d", got)
	}
}

// An explicit zero is a value, not a missing field: an operator who writes notice_ms: 0 for a
// test fleet must not get the default of three seconds.
func TestExplicitZeroIsKept(t *testing.T) {
	s, faults := Parse([]byte(minimal + "shutdown: {notice_ms: 0}\n"))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	if got := s.GetShutdown().GetNoticeMs(); got != 0 {
		t.Errorf("shutdown.notice_ms is %d, want 0", got)
	}
}

func TestFaultsNameLineAndRemedy(t *testing.T) {
	tests := []struct {
		name string
		text string
		want string
	}{
		{"unknown field", minimal + "colour: red\n", `line 5: colour: unknown field "colour"; use one of: fleet`},
		{"wrong type", minimal + "seeds: 7\n", "line 5: seeds: found Integer; write a list"},
		{"name in place of an IP", minimal + "seeds: [\"entry.example:1\"]\n", "seeds: found [entry.example:1]; write each seed as IP:port"},
		{"out of range", minimal + "limits: {silence_ms: 1}\n", "limits.silence_ms: found 1; write a value that satisfies min=50,max=600000 (in ms)"},
		{"fraction for a whole number", minimal + "limits: {silence_ms: 1.5}\n", `limits.silence_ms: found "1.5"; write a whole number`},
		{"half of TLS", minimal + "fleet_tls: {cert_file: a.pem}\n", "fleet_tls: only some of cert_file, key_file and ca_file are set; set all three"},
		{"no YAML", "fleet: [", "write valid YAML"},
		{"nothing", "", "the file does not hold exactly one document"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, faults := Parse([]byte(tt.text))
			got := Lines("f.yaml", faults)
			if !strings.Contains(got, tt.want) {
				t.Errorf("got  %s\nwant %s", got, tt.want)
			}
		})
	}
}

func TestLoadListsEveryFault(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entry.yaml")
	if err := os.WriteFile(path, []byte("colour: red\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := Load(path)
	if !fault.Is(err, fault.Invalid) {
		t.Fatalf("got %v, want kind %s", err, fault.Invalid)
	}
	for _, want := range []string{"colour", "data_centre", "fleet", "platform.address"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is not named in %v", want, err)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal))
	f.Add([]byte("seeds: [1, {a: b}]\nlisten: []"))
	f.Add([]byte("a: &x {b: *x}"))
	f.Add([]byte("fleet: !!binary x\nlisten: {? {a: b} : c}"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		Parse(data)
	})
}
