package cli

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// hostEnv is the environment variable with which the test binary runs the host command with
// the given settings file, so that tests can send signals to a separate process.
const hostEnv = "SARDINEDOCK_TEST_HOST"

func TestMain(m *testing.M) {
	if path := os.Getenv(hostEnv); path != "" {
		os.Exit(Run([]string{"host", "--settings", path}, os.Stdout, os.Stderr))
	}
	testscript.Main(m, map[string]func(){
		"sardinedock": func() { os.Exit(Run(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// The scripts check each command's output and exit code.
func TestScripts(t *testing.T) {
	examples, err := filepath.Abs("../../examples")
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			env.Setenv("EXAMPLES", examples)
			return nil
		},
	})
}
