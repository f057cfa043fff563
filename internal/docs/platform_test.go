package docs

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// platformNames are names of the users' platform that mean nothing to the rest
// of the product: headers, fields, paths and words of its protocol.
var platformNames = regexp.MustCompile(`"Sardinedock-(Request|Deadline|Model|Token|Prompt|Tenant|Expect|Cache-Salt|Kv|Response|Not|Weight|Instance|Server|Pin|Hold|Length)[A-Za-z-]*"|Kv-From|Kv-Fetch|Kv-Save|` +
	`"(pathPrefix|timeoutMs|targetLatencyMs|trafficSplit|maxAttempts|gapAimMs|resumable|apiKeys|isolated|healthCheck|maxConnections|` +
	`kvStoreAddr|kvCapacityTokens|kvTokenBytes|linkMbps|coldRemainingMs|maxHeaderBytes|maxBodyBytes|headerTimeoutMs|idleTimeoutMs|` +
	`createdRev|finalizers|morePages|asOf|waitMs|allowStale|bootEpoch|kvUsed|kvTotal|in_place|non_idempotent|tenants|` +
	`holder_s|requireFence|nodeName|machineClass|internalPorts)"|/api/(objects|order|report|ready|kv-|hold-)`)

// Somebody changes a name on the platform. If it stands in many packages, some
// of them are missed, and requests fail in ways that no test of one package shows.
// So the names stand in the adapter alone.
func TestPlatformNamesStandInTheAdapterAlone(t *testing.T) {
	seen := 0
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
		seen++
		for i, line := range strings.Split(string(data), "\n") {
			if name := platformNames.FindString(line); name != "" {
				t.Errorf("%s:%d: %s belongs into platform/", rel, i+1, name)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if seen < 100 {
		t.Fatalf("only %d files were looked at", seen)
	}
	data, err := os.ReadFile("../../platform/headers.go")
	if err != nil || !platformNames.Match(data) {
		t.Errorf("the pattern finds nothing in the adapter (%v); it would find nothing elsewhere", err)
	}
}
