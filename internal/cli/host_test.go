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

// holdEnv names a pipe that the test binary reads to its end while its packages are being
// initialised.
const holdEnv = "SARDINEDOCK_TEST_HOLD"

var _ = holdStart()

func holdStart() error {
	path := os.Getenv(holdEnv)
	if path == "" {
		return nil
	}
	_, err := os.ReadFile(path)
	return err
}

// process is the command host, run as a process of its own.
type process struct {
	*exec.Cmd
	dir string
}

// startHost starts a process whose settings file is a pipe, so that the test decides what it
// reads, and when. It is held while its packages are initialised if hold is set.
func startHost(t *testing.T, hold bool) process {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	p := process{exec.Command(self), t.TempDir()}
	p.Env = append(os.Environ(), hostEnv+"="+p.pipe(t, "settings.yaml"))
	if hold {
		p.Env = append(p.Env, holdEnv+"="+p.pipe(t, "hold"))
	}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.Process.Kill() })
	return p
}

func (p process) pipe(t *testing.T, name string) string {
	t.Helper()
	path := filepath.Join(p.dir, name)
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// reads waits until the process reads a pipe, and returns the end to write to.
func (p process) reads(t *testing.T, name string) *os.File {
	t.Helper()
	const within = 20 * time.Second
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(time.Millisecond) {
		// There is nobody to write to before the process has opened the pipe.
		f, err := os.OpenFile(filepath.Join(p.dir, name), os.O_WRONLY|syscall.O_NONBLOCK, 0)
		if err == nil {
			return f
		}
	}
	t.Fatalf("the process does not read %s within %v", name, within)
	return nil
}

// told sends a signal.
func (p process) told(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// refuse has the process read settings that end it with a word and a code, and judges that
// it ended so.
func (p process) refuse(t *testing.T, settings *os.File) {
	t.Helper()
	_, _ = settings.WriteString("instance: 1\n")
	_ = settings.Close()
	var ended *exec.ExitError
	if err := p.Wait(); !errors.As(err, &ended) || !ended.Exited() {
		t.Errorf("the process ended by %v, want its own end", err)
	}
}

// The platform tells a process that its settings have changed while it is still starting, as
// when instances are restarted and their settings changed in one go. A process that does not
// expect the signal yet dies of it; its log just stops, and callers lose it for the time of
// one more start.
func TestReloadDuringTheStartDoesNotEndTheProcess(t *testing.T) {
	p := startHost(t, false)
	settings := p.reads(t, "settings.yaml")
	p.told(t, syscall.SIGHUP)
	p.refuse(t, settings)
}

// The same some ms sooner: the program has not come to its first line yet.
func TestReloadBeforeTheFirstLineDoesNotEndTheProcess(t *testing.T) {
	p := startHost(t, true)
	held := p.reads(t, "hold")
	p.told(t, syscall.SIGHUP)
	_ = held.Close()
	p.refuse(t, p.reads(t, "settings.yaml"))
}

// An instance that is starting is told to reload again and again, and then to end. The word
// to end must not be lost among the others: the platform would kill the process later, with
// callers' requests open.
func TestEndDuringTheStartIsHeeded(t *testing.T) {
	p := startHost(t, false)
	settings := p.reads(t, "settings.yaml")
	// What it reads again is an ordinary file, which does not hold it up.
	if err := os.Remove(settings.Name()); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(settings.Name(), []byte(wholeSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	const reloads = 12
	for range reloads {
		p.told(t, syscall.SIGHUP)
		// Signals of one kind that come at once count as one.
		time.Sleep(2 * time.Millisecond)
	}
	p.told(t, syscall.SIGTERM)
	_, _ = settings.WriteString(wholeSettings)
	_ = settings.Close()
	const within = 20 * time.Second
	stop := time.AfterFunc(within, func() { _ = p.Process.Kill() })
	defer stop.Stop()
	if err := p.Wait(); err != nil {
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
