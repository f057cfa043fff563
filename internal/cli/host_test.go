package cli

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// The platform writes the settings anew without a signal. A process that does not look
// goes by the old ones for as long as it lives.
func TestChangedFileIsNoticedOnce(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	write := func(text string, at time.Time) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(path, at, at); err != nil {
			t.Fatal(err)
		}
	}
	start := time.Unix(1000, 0)
	write("one", start)
	f := newWatchedFile(path)
	if f.changed() {
		t.Error("changed, though nobody wrote it")
	}
	write("two", start.Add(time.Second))
	if !f.changed() {
		t.Error("a change of the same size is not noticed")
	}
	write("three", start.Add(time.Second))
	if !f.changed() {
		t.Error("a change within the clock's resolution is not noticed")
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if f.changed() {
		t.Error("a file that is being replaced counts as changed")
	}
}
