package entry

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"chicoryctl": Main})
}

// TestScripts runs each script in testdata/script. A script holds commands, their files and the expected output.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata/script",
		Setup: startServer,
		Cmds:  map[string]func(*testscript.TestScript, bool, []string){"table": setTable, "edit": edit},
		// UPDATE_SCRIPTS=1 replaces the expected output by the actual output; review the diff before committing.
		UpdateScripts: os.Getenv("UPDATE_SCRIPTS") != "",
	})
}
