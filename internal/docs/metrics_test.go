package docs

import (
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

var (
	// metricName matches a complete name. The object API's client builds its names from
	// apiPrefix and the argument of counter.
	metricName   = regexp.MustCompile(`sardinedock_[a-z_]*_(total|seconds|limit|bytes)`)
	apiPrefix    = "sardinedock_objectapi_"
	apiCounter   = regexp.MustCompile(`\bcounter\("([a-z_]+)"`)
	quotedMetric = regexp.MustCompile("[\"`](sardinedock_[a-z_]*)")
)

// Alerts are written from the page. An alert on a metric whose name on the page differs from
// the one in the code never fires, and this goes unnoticed.
func TestOperationsPageListsEveryMetric(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	documented := map[string]bool{}
	for _, name := range metricName.FindAllString(string(page), -1) {
		documented[name] = true
	}
	defined := metricsInCode(t)
	if len(defined) == 0 {
		t.Fatal("no metric was found in the code")
	}
	for _, name := range slices.Sorted(maps.Keys(defined)) {
		if !documented[name] {
			t.Errorf("%s of %s is missing in docs/OPERATIONS.md", name, defined[name])
		}
	}
	for _, name := range slices.Sorted(maps.Keys(documented)) {
		if defined[name] == "" {
			t.Errorf("docs/OPERATIONS.md names %s, which is not defined in the code", name)
		}
	}
}

// metricsInCode returns the metrics defined in the code, each with a file that defines it.
func metricsInCode(t *testing.T) map[string]string {
	defined := map[string]string{}
	err := filepath.WalkDir("../..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, m := range quotedMetric.FindAllStringSubmatch(string(source), -1) {
			if m[1] != apiPrefix {
				defined[m[1]] = path
			}
		}
		if filepath.Base(filepath.Dir(path)) == "objectapi" {
			for _, m := range apiCounter.FindAllStringSubmatch(string(source), -1) {
				defined[apiPrefix+m[1]+"_total"] = path
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return defined
}
