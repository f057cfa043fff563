package cli

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// wholeSettings are settings with which an instance starts.
const wholeSettings = "instance: one\ndata_centre: dc\nstore: 127.0.0.1:9\n" +
	"listen: {callers: \"127.0.0.1:0\", ready: \"127.0.0.1:0\", gossip: \"127.0.0.1:0\", metrics: \"127.0.0.1:0\"}\n"

// startHost starts the command host as a process of its own whose settings file is a pipe,
// and returns once it has come to read them. The test decides what it reads, and when.
func startHost(t *testing.T) (cmd *exec.Cmd, settings *os.File) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.yaml")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd = exec.Command(self)
	cmd.Env = append(os.Environ(), hostEnv+"="+path)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	const within = 20 * time.Second
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(time.Millisecond) {
		// There is nobody to write to before the process has opened the pipe.
		settings, err = os.OpenFile(path, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		if err == nil {
			return cmd, settings
		}
	}
	t.Fatalf("the process does not read its settings within %v: %v", within, err)
	return nil, nil
}

// The platform tells a process that its settings have changed while it is still starting, as
// when instances are restarted and their settings changed in one go. A process that does not
// expect the signal yet dies of it; its log just stops, and callers lose it for the time of
// one more start.
func TestReloadDuringTheStartDoesNotEndTheProcess(t *testing.T) {
	cmd, settings := startHost(t)
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	// Settings that are refused end the process with a word and a code.
	_, _ = settings.WriteString("instance: 1\n")
	_ = settings.Close()
	var ended *exec.ExitError
	if err := cmd.Wait(); !errors.As(err, &ended) || !ended.Exited() {
		t.Errorf("the process ended by %v, want its own end", err)
	}
}

// An instance that is starting is told to reload again and again, and then to end. The word
// to end must not be lost among the others: the platform would kill the process later, with
// callers' requests open.
func TestEndDuringTheStartIsHeeded(t *testing.T) {
	cmd, settings := startHost(t)
	// What it reads again is an ordinary file, which does not hold it up.
	if err := os.Remove(settings.Name()); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(settings.Name(), []byte(wholeSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	for range 3 * 4 {
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		// Signals of one kind that come at once count as one.
		time.Sleep(2 * time.Millisecond)
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	_, _ = settings.WriteString(wholeSettings)
	_ = settings.Close()
	const within = 20 * time.Second
	stop := time.AfterFunc(within, func() { _ = cmd.Process.Kill() })
	defer stop.Stop()
	if err := cmd.Wait(); err != nil {
		t.Errorf("the process ended by %v, want code 0 within %v", err, within)
	}
}

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
