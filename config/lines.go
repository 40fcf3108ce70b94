package config

import (
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// keyPath is the path of a key from the root of the document. Elements of an
// array of tables appear as their index.
type keyPath []string

// String joins the path with dots.
func (p keyPath) String() string {
	return strings.Join(p, ".")
}

func (p keyPath) index() string {
	return strings.Join(p, "\x00")
}

// lineIndex maps the paths of a document's keys and tables to their lines.
type lineIndex map[string]int

// line returns the line of the path, or of its nearest parent in the index.
func (x lineIndex) line(path keyPath) int {
	for n := len(path); n > 0; n-- {
		if line, ok := x[path[:n].index()]; ok {
			return line
		}
	}
	return 0
}

// indexLines parses the document a second time to find the positions of its
// keys. It stops at the first syntax error.
func indexLines(document []byte) lineIndex {
	index := make(lineIndex)
	counts := make(map[string]int)
	var table keyPath
	parser := unstable.Parser{}
	parser.Reset(document)
	lines := newLineCounter(document)
	for parser.NextExpression() {
		node := parser.Expression()
		key, offset := readKey(&parser, node)
		switch node.Kind {
		case unstable.Table:
			table = key
			index.add(table, lines.at(offset))
		case unstable.ArrayTable:
			n := counts[key.index()]
			counts[key.index()] = n + 1
			table = append(key, strconv.Itoa(n))
			index.add(table, lines.at(offset))
		case unstable.KeyValue:
			index.add(append(table[:len(table):len(table)], key...), lines.at(offset))
		}
	}
	return index
}

func (x lineIndex) add(path keyPath, line int) {
	if _, ok := x[path.index()]; !ok {
		x[path.index()] = line
	}
}

// readKey returns the key of an expression and the offset of its first part.
func readKey(parser *unstable.Parser, node *unstable.Node) (keyPath, int) {
	var key keyPath
	offset := 0
	if node.Kind == unstable.Comment {
		return nil, 0
	}
	for it := node.Key(); it.Next(); {
		part := it.Node()
		if len(key) == 0 {
			offset = int(part.Raw.Offset)
		}
		key = append(key, string(part.Data))
	}
	return key, offset
}

// lineCounter converts ascending offsets to line numbers in one pass over the
// document.
type lineCounter struct {
	document []byte
	offset   int
	line     int
}

func newLineCounter(document []byte) *lineCounter {
	return &lineCounter{document: document, line: 1}
}

func (c *lineCounter) at(offset int) int {
	for c.offset < offset && c.offset < len(c.document) {
		if c.document[c.offset] == '\n' {
			c.line++
		}
		c.offset++
	}
	return c.line
}
