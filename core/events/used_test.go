package events_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestEveryEventIsLogged holds the catalogue to the program: an event that nothing logs
// would promise operators what never comes.
func TestEveryEventIsLogged(t *testing.T) {
	table, err := os.ReadFile("table.go")
	assert.NilError(t, err)
	code := source(t)
	for _, m := range regexp.MustCompile(`(?m)^\t(\w+) += Event`).FindAllStringSubmatch(string(table), -1) {
		t.Run(m[1], func(t *testing.T) {
			assert.Assert(t, regexp.MustCompile(`events\.`+m[1]+`\b`).MatchString(code), "nothing logs this event")
		})
	}
}

// source returns the program's code without tests.
func source(t *testing.T) string {
	t.Helper()
	var code strings.Builder
	err := filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		code.Write(data)
		return err
	})
	assert.NilError(t, err)
	return code.String()
}
