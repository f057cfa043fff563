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

// validSettings are complete settings with which an instance starts.
const validSettings = "instance: one\ndata_centre: dc\nstore: 127.0.0.1:9\n" +
	"listen: {callers: \"127.0.0.1:0\", ready: \"127.0.0.1:0\", gossip: \"127.0.0.1:0\", metrics: \"127.0.0.1:0\"}\n"

// holdEnv is the environment variable that names a pipe; the test binary reads it to EOF while
// its packages are being initialised.
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

// process is the host command in a process of its own.
type process struct {
	*exec.Cmd
	dir string
}

// startHost starts a process whose settings file is a named pipe, so that the test decides what
// it reads and when. If hold is set, package initialisation blocks until the test closes the
// pipe "hold".
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

// awaitReader waits until the process has opened a pipe, and returns the writing end.
func (p process) awaitReader(t *testing.T, name string) *os.File {
	t.Helper()
	const within = 20 * time.Second
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(time.Millisecond) {
		// Opening fails with ENXIO until the process has opened the pipe for reading.
		f, err := os.OpenFile(filepath.Join(p.dir, name), os.O_WRONLY|syscall.O_NONBLOCK, 0)
		if err == nil {
			return f
		}
	}
	t.Fatalf("the process does not read %s within %v", name, within)
	return nil
}

func (p process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// checkExitOnInvalidSettings writes invalid settings to the process and checks that it exits by
// itself with an error instead of being killed by a signal.
func (p process) checkExitOnInvalidSettings(t *testing.T, settings *os.File) {
	t.Helper()
	_, _ = settings.WriteString("instance: 1\n")
	_ = settings.Close()
	var ended *exec.ExitError
	if err := p.Wait(); !errors.As(err, &ended) || !ended.Exited() {
		t.Errorf("the process ended with %v, want an exit code of its own", err)
	}
}

// The platform sends SIGHUP while a process is still starting, as when instances are restarted
// and their settings changed in one go. Without a handler the signal kills the process: its log
// just stops, and callers do without the instance until it has started once more.
func TestReloadDuringStartDoesNotKillTheProcess(t *testing.T) {
	p := startHost(t, false)
	settings := p.awaitReader(t, "settings.yaml")
	p.signal(t, syscall.SIGHUP)
	p.checkExitOnInvalidSettings(t, settings)
}

// The same some ms earlier, while Go packages are still being initialised and main has not run.
func TestReloadBeforeMainDoesNotKillTheProcess(t *testing.T) {
	p := startHost(t, true)
	held := p.awaitReader(t, "hold")
	p.signal(t, syscall.SIGHUP)
	_ = held.Close()
	p.checkExitOnInvalidSettings(t, p.awaitReader(t, "settings.yaml"))
}

// An instance that is starting gets many SIGHUPs and then SIGTERM. SIGTERM must not be lost
// among the others: the platform would kill the process later, with callers' requests open.
func TestTerminationDuringStartIsHandled(t *testing.T) {
	p := startHost(t, false)
	settings := p.awaitReader(t, "settings.yaml")
	// On reload it reads an ordinary file, which does not block it.
	if err := os.Remove(settings.Name()); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(settings.Name(), []byte(validSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	const reloads = 12
	for range reloads {
		p.signal(t, syscall.SIGHUP)
		// Pending signals of one kind are merged, so leave a gap.
		time.Sleep(2 * time.Millisecond)
	}
	p.signal(t, syscall.SIGTERM)
	_, _ = settings.WriteString(validSettings)
	_ = settings.Close()
	const within = 20 * time.Second
	stop := time.AfterFunc(within, func() { _ = p.Process.Kill() })
	defer stop.Stop()
	if err := p.Wait(); err != nil {
		t.Errorf("the process ended with %v, want exit code 0 within %v", err, within)
	}
}

// The platform rewrites the settings file without sending a signal. A process that does not poll
// the file would run with the old settings until it is restarted.
func TestFileChangeIsReportedOnce(t *testing.T) {
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
		t.Error("reported as changed without a write")
	}
	write("two", start.Add(time.Second))
	if !f.changed() {
		t.Error("a change that keeps the size is not reported")
	}
	write("three", start.Add(time.Second))
	if !f.changed() {
		t.Error("a change within the clock's resolution is not reported")
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if f.changed() {
		t.Error("a missing file is reported as changed")
	}
}
