package settings

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

// templateValues are the values that the platform substitutes in the settings template.
var templateValues = map[string]string{
	"nodeName|json": `"front-tema-hall-1"`, "zone|json": `"tema-hall"`, "provider.address|json": `"10.200.1.7:8784"`,
	"listen.front|json": `"10.1.0.30:8782"`, "listen.ready|json": `"10.1.0.30:8789"`, "ip": "10.1.0.30",
	"internalPorts.0": "7340", "internalPorts.1": "7355", "bounds.graceS": "8", "bounds.leaseMs": "3000",
	"bounds.retryBudgetRatio": "0.2", "bounds.retrySlack": "56", "bounds.budgetWindowS": "10", "bounds.versionMs": "8000",
	"heartbeatMs": "1200", "limits.linkMbps": "1000.0", "limits.memoryMb": "144", "bootstrap|json": "true",
}

// If the template names a field that the settings do not have, or leaves out a required one, no
// instance comes up: the platform fills the template in at every start.
func TestDeployedTemplateIsValid(t *testing.T) {
	template, err := os.ReadFile("../deploy/settings.yaml")
	if err != nil {
		t.Fatal(err)
	}
	text := regexp.MustCompile(`\{\{(.*?)\}\}`).ReplaceAllStringFunc(string(template), func(m string) string {
		value, ok := templateValues[strings.Trim(m, "{}")]
		if !ok {
			t.Errorf("%s is not filled in", m)
		}
		return value
	})
	h, faults := ParseHosted([]byte(text))
	if len(faults) > 0 {
		t.Fatal(Lines("deploy/settings.yaml", faults))
	}
	if h.GetInstance() != "front-tema-hall-1" || h.GetListen().GetGossip() != "10.1.0.30:7340" || h.GetBounds().GetRetrySlack() != 56 || h.GetBounds().GetHeartbeatMs() != 1200 || h.GetLinkMbps() != 1000 || h.GetMemoryMb() != 144 || !h.GetFirstStart() {
		t.Errorf("filled in as %v", h)
	}
}

// An operator enters an invalid value. The message has to name the field and what to write.
func TestHostedFaultsNameRemedy(t *testing.T) {
	_, faults := ParseHosted([]byte("instance: a\ndata_centre: d\nstore: somewhere\nlisten: {callers: \"127.0.0.1:1\", ready: \"127.0.0.1:2\", gossip: \"127.0.0.1:3\", metrics: \"127.0.0.1:4\"}\nbounds: {lease_ms: 1}\n"))
	text := Lines("f", faults)
	for _, want := range []string{"store: found somewhere; write the store as IP:port", "bounds.lease_ms: found 1; write a value that satisfies min=500"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is missing in\n%s", want, text)
		}
	}
}

// A memory that makes no sense must not come into force as a bound that closes every connection, or as none.
func TestAbsurdMemoryIsRefused(t *testing.T) {
	for _, value := range []string{"-1", "0.001", "2e9", ".nan", ".inf", "much", "[144]"} {
		_, faults := ParseHosted([]byte("instance: a\ndata_centre: d\nstore: \"127.0.0.1:5\"\nlisten: {callers: \"127.0.0.1:1\", ready: \"127.0.0.1:2\", gossip: \"127.0.0.1:3\", metrics: \"127.0.0.1:4\"}\nmemory_mb: " + value + "\n"))
		if text := Lines("f", faults); len(faults) != 1 || !strings.Contains(text, "memory_mb") {
			t.Errorf("memory_mb: %s: faults %q, want one that names the field", value, text)
		}
	}
}
