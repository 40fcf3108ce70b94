// Package docs_test compares pages of the documentation with the code.
package docs_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const points = 12 // that must always hold

var proofName = regexp.MustCompile("`([a-z]+\\.(?:Test|Fuzz)[A-Za-z]+)`")

// testsOfModule returns the tests and fuzz targets of all packages, each as
// directory.Name.
func testsOfModule(t *testing.T) map[string]bool {
	t.Helper()
	found := map[string]bool{}
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		for _, declaration := range file.Decls {
			if function, ok := declaration.(*ast.FuncDecl); ok {
				found[filepath.Base(filepath.Dir(path))+"."+function.Name.Name] = true
			}
		}
		return nil
	})
	assert.NilError(t, err)
	return found
}

func TestProofsNameTestsThatExist(t *testing.T) {
	page, err := os.ReadFile("PROOFS.md")
	assert.NilError(t, err)
	exists := testsOfModule(t)
	for _, match := range proofName.FindAllStringSubmatch(string(page), -1) {
		assert.Assert(t, exists[match[1]], "%s does not exist", match[1])
	}
	for point := 1; point <= points; point++ {
		assert.Equal(t, strings.Count(string(page), fmt.Sprintf("\n| %d |", point)), 1, "rows of point %d", point)
	}
}
