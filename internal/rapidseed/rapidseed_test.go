package rapidseed

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a property test whose verdict depends on a seed that is drawn anew in each run.
func TestPropertyTestsHaveAFixedSeed(t *testing.T) {
	const root = "../.."
	seeded, rapid := map[string]bool{}, map[string]bool{}
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, i := range file.Imports {
			switch strings.Trim(i.Path.Value, `"`) {
			case "pgregory.net/rapid":
				rapid[filepath.Dir(path)] = true
			case "github.com/sardinedock/sardinedock/internal/rapidseed":
				seeded[filepath.Dir(path)] = true
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(rapid) == 0 {
		t.Fatal("no property tests found")
	}
	for dir := range rapid {
		if !seeded[dir] {
			t.Errorf("%s imports rapid and not rapidseed", dir)
		}
	}
}
