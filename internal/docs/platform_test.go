package docs

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// platformNames matches names from the protocol of the users' platform (headers, fields, paths
// and values) that only the adapter in platform/ may use.
var platformNames = regexp.MustCompile(`"Sardinedock-(Request|Deadline|Model|Token|Prompt|Tenant|Expect|Cache-Salt|Kv|Response|Not|Weight|Instance|Server|Pin|Hold|Length)[A-Za-z-]*"|Kv-From|Kv-Fetch|Kv-Save|` +
	`"(pathPrefix|timeoutMs|targetLatencyMs|trafficSplit|maxAttempts|gapAimMs|resumable|apiKeys|isolated|healthCheck|maxConnections|` +
	`kvStoreAddr|kvCapacityTokens|kvTokenBytes|linkMbps|coldRemainingMs|maxHeaderBytes|maxBodyBytes|headerTimeoutMs|idleTimeoutMs|` +
	`createdRev|finalizers|morePages|asOf|waitMs|allowStale|bootEpoch|kvUsed|kvTotal|in_place|non_idempotent|tenants|` +
	`holder_s|requireFence|nodeName|machineClass|internalPorts)"|/api/(objects|order|report|ready|kv-|hold-)`)

// The platform renames part of its protocol. If many packages used the name, some would be
// missed, and requests would fail in ways that no test of a single package shows. So only the
// adapter may contain these names.
func TestOnlyTheAdapterUsesPlatformNames(t *testing.T) {
	checked := 0
	err := filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, err := filepath.Rel("../..", path)
		if err != nil {
			return err
		}
		if d.IsDir() {
			switch rel {
			case ".git", "platform", "deploy", "journal", "target":
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(rel, ".go") || strings.HasSuffix(rel, "_test.go") {
			return nil
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		checked++
		for i, line := range strings.Split(string(data), "\n") {
			if name := platformNames.FindString(line); name != "" {
				t.Errorf("%s:%d: %s may only be used in platform/", rel, i+1, name)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if checked < 100 {
		t.Fatalf("only %d files were checked", checked)
	}
	data, err := os.ReadFile("../../platform/headers.go")
	if err != nil || !platformNames.Match(data) {
		t.Errorf("the pattern matches nothing in the adapter (%v), so it would match nothing elsewhere", err)
	}
}
