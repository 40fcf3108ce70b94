package code

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// docsFile is relative to the directory testdata, where golden looks for files.
const docsFile = "../../docs/RESULT-CODES.md"

const docsHead = `# Result codes

Every refusal and failure carries one numbered code. The thousands digit says
what is known about the request:

- 1xxx: it was not run.
- 2xxx: it may have run.
- 3xxx: it ran.

"Retry" says whether the caller may send the same request again unchanged. The
same table is printed by ` + "`citronctl codes`" + `. This page is generated from the
code; regenerate it with ` + "`go test ./code -update`" + `.

| Code | Name | Outcome | HTTP | Retry | Meaning | Action |
|---|---|---|---|---|---|---|
`

func renderDocs() string {
	var b strings.Builder
	b.WriteString(docsHead)
	for _, i := range Table() {
		retry := "no"
		if i.Retry {
			retry = "yes"
		}
		fmt.Fprintf(&b, "| %d | %s | %s | %d | %s | %s | %s |\n", int(i.Code), i.Name, i.Code.Outcome(), i.Status, retry, i.Meaning, i.Action)
	}
	return b.String()
}

func TestDocsListEveryCode(t *testing.T) {
	golden.Assert(t, renderDocs(), docsFile)
}

func TestTableHasEveryConstantOnce(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "code.go", nil, 0)
	assert.NilError(t, err)
	constants := 0
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if kind, isName := specType(spec, ok); isName && kind == "Code" {
			constants++
		}
		return true
	})
	assert.Equal(t, len(table), constants-1, "every code but OK has a row")
	assert.Equal(t, len(byCode), len(table), "a code occurs twice")
}

func specType(spec *ast.ValueSpec, ok bool) (string, bool) {
	if !ok {
		return "", false
	}
	name, isName := spec.Type.(*ast.Ident)
	if !isName {
		return "", false
	}
	return name.Name, true
}
