package entry

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"chicoryctl": Main})
}

// TestScripts runs each file in testdata/script: a command, its files and what it must print.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata/script",
		Setup: startDaemon,
		Cmds:  map[string]func(*testscript.TestScript, bool, []string){"table": setTable, "edit": edit},
		// UPDATE_SCRIPTS=1 writes what was printed into the files, to be read before it is committed.
		UpdateScripts: os.Getenv("UPDATE_SCRIPTS") != "",
	})
}
