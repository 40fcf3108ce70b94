package event

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"sort"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// docsFile is relative to the directory testdata, where golden looks for files.
const docsFile = "../../docs/EVENTS.md"

const docsHead = `# Log events

Each log line is one numbered event; the field ` + "`event`" + ` holds the number and the
field ` + "`name`" + ` its name. Lines about a request carry its identifier in ` + "`request`" + `,
which ` + "`citronctl trace`" + ` takes. No line carries prompt text, answer text or tokens
of teams. The same table is printed by ` + "`citronctl events`" + `. This page is
generated from the code; regenerate it with ` + "`go test ./event -update`" + `.

| Event | Name | Level | Meaning | Action |
|---|---|---|---|---|
`

func renderDocs() string {
	var b strings.Builder
	b.WriteString(docsHead)
	for _, e := range Catalogue() {
		action := e.Action
		if action == "" {
			action = "None."
		}
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s |\n", e.Number, e.Name, e.Level, e.Meaning, action)
	}
	return b.String()
}

func TestDocsListEveryEvent(t *testing.T) {
	golden.Assert(t, renderDocs(), docsFile)
}

func TestCatalogueIsSortedAndComplete(t *testing.T) {
	events := Catalogue()
	assert.Assert(t, sort.SliceIsSorted(events, func(i, j int) bool { return events[i].Number < events[j].Number }))
	for i, e := range events {
		assert.Assert(t, e.Name != "" && e.Meaning != "", "%d", e.Number)
		assert.Assert(t, i == 0 || events[i-1].Number != e.Number, "%d occurs twice", e.Number)
	}
}

func TestCatalogueHasEveryEvent(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "catalogue.go", nil, 0)
	assert.NilError(t, err)
	literals := 0
	ast.Inspect(file, func(n ast.Node) bool {
		literal, ok := n.(*ast.CompositeLit)
		if !ok {
			return true
		}
		if name, isName := literal.Type.(*ast.Ident); isName && name.Name == "Event" {
			literals++
		}
		return true
	})
	assert.Equal(t, len(catalogue), literals)
}
