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

// TestEveryEventIsLogged checks that the program logs every event of the table. The table would
// otherwise document events that operators never receive.
func TestEveryEventIsLogged(t *testing.T) {
	table, err := os.ReadFile("table.go")
	assert.NilError(t, err)
	code := programSource(t)
	for _, m := range regexp.MustCompile(`(?m)^\t(\w+) += Event`).FindAllStringSubmatch(string(table), -1) {
		t.Run(m[1], func(t *testing.T) {
			assert.Assert(t, regexp.MustCompile(`events\.`+m[1]+`\b`).MatchString(code), "no package logs this event")
		})
	}
}

// programSource returns the source of all packages without test files.
func programSource(t *testing.T) string {
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
