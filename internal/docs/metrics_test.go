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
	// metricName is a whole name; the object API's client puts its own
	// together from apiPrefix and the word that it passes to counter.
	metricName   = regexp.MustCompile(`sardinedock_[a-z_]*_(total|seconds)`)
	apiPrefix    = "sardinedock_objectapi_"
	apiCounter   = regexp.MustCompile(`\bcounter\("([a-z_]+)"`)
	quotedMetric = regexp.MustCompile("[\"`](sardinedock_[a-z_]*)")
)

// An alert is written from the page. A metric that has another name there than
// in the program never rises, and nobody notices.
func TestOperatingPageNamesEveryMetric(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	told := map[string]bool{}
	for _, name := range metricName.FindAllString(string(page), -1) {
		told[name] = true
	}
	counted := metricsInCode(t)
	if len(counted) == 0 {
		t.Fatal("no metric was found in the code")
	}
	for _, name := range slices.Sorted(maps.Keys(counted)) {
		if !told[name] {
			t.Errorf("%s of %s is missing in docs/OPERATIONS.md", name, counted[name])
		}
	}
	for _, name := range slices.Sorted(maps.Keys(told)) {
		if counted[name] == "" {
			t.Errorf("docs/OPERATIONS.md names %s, which no code counts", name)
		}
	}
}

// metricsInCode returns each metric and a file that counts it.
func metricsInCode(t *testing.T) map[string]string {
	counted := map[string]string{}
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
				counted[m[1]] = path
			}
		}
		if filepath.Base(filepath.Dir(path)) == "objectapi" {
			for _, m := range apiCounter.FindAllStringSubmatch(string(source), -1) {
				counted[apiPrefix+m[1]+"_total"] = path
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return counted
}
