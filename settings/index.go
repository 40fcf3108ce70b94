package settings

import (
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// entry is one field or table header as written in the file.
type entry struct {
	line  int
	field string // dotted key including its table
	value string
}

// entries are the fields and table headers of a file in the order of their lines.
type entries []entry

// indexEntries returns the entries of a document. It stops at the first syntax
// error, which the decoder reports.
func indexEntries(data []byte) entries {
	var list entries
	var table string
	parser := unstable.Parser{}
	parser.Reset(data)
	for parser.NextExpression() {
		node := parser.Expression()
		key, line := keyOf(&parser, node)
		if node.Kind != unstable.KeyValue {
			table = key
			list = append(list, entry{line: line, field: key, value: "[" + key + "]"})
			continue
		}
		list = append(list, entry{line: line, field: join(table, key), value: valueOf(node.Value())})
	}
	return list
}

func keyOf(parser *unstable.Parser, node *unstable.Node) (string, int) {
	var parts []string
	line := 0
	for keys := node.Key(); keys.Next(); {
		part := keys.Node()
		if line == 0 {
			line = parser.Shape(part.Raw).Start.Line
		}
		parts = append(parts, string(part.Data))
	}
	return strings.Join(parts, "."), line
}

func join(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}

func valueOf(node *unstable.Node) string {
	switch node.Kind {
	case unstable.String:
		return strconv.Quote(string(node.Data))
	case unstable.Array:
		var parts []string
		for children := node.Children(); children.Next(); {
			parts = append(parts, valueOf(children.Node()))
		}
		return "[" + strings.Join(parts, ", ") + "]"
	case unstable.InlineTable:
		return "{...}"
	default:
		return string(node.Data)
	}
}

// lastUpTo returns the last entry that starts on the line or before it.
func (e entries) lastUpTo(line int) entry {
	var found entry
	for _, at := range e {
		if at.line > line {
			break
		}
		found = at
	}
	return found
}

// find returns the entry of the field and whether the file contains it.
func (e entries) find(field string) (entry, bool) {
	for _, at := range e {
		if at.field == field {
			return at, true
		}
	}
	return entry{field: field}, false
}
