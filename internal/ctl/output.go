package ctl

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

const (
	columnGap  = 2 // blanks between columns
	jsonIndent = "  "
)

// table is the text output of a command.
type table struct {
	header []string
	rows   [][]string
}

func newTable(header ...string) *table {
	return &table{header: header}
}

// add appends a row; an empty cell is shown as a dash.
func (t *table) add(cells ...any) {
	row := make([]string, 0, len(cells))
	for _, cell := range cells {
		text := fmt.Sprint(cell)
		if text == "" {
			text = "-"
		}
		row = append(row, text)
	}
	t.rows = append(t.rows, row)
}

func (a *app) writeTable(t *table) error {
	w := tabwriter.NewWriter(a.out, 0, 0, columnGap, ' ', 0)
	if _, err := fmt.Fprintln(w, strings.Join(t.header, "\t")); err != nil {
		return err
	}
	for _, row := range t.rows {
		if _, err := fmt.Fprintln(w, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return w.Flush()
}

// writeJSON writes the value as indented JSON.
func (a *app) writeJSON(value any) error {
	data, err := json.MarshalIndent(value, "", jsonIndent)
	if err != nil {
		return fmt.Errorf("write JSON: %w", err)
	}
	a.print(string(data))
	return nil
}

// write writes the value as JSON if --json is set, and the table otherwise.
func (a *app) write(value any, t *table) error {
	if a.JSON {
		return a.writeJSON(value)
	}
	return a.writeTable(t)
}

// protoJSON encodes a message as JSON with the field names of the .proto file and with
// unset fields included. 64-bit integers are strings, as proto3 JSON specifies.
func protoJSON(message proto.Message) (json.RawMessage, error) {
	return protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(message)
}

// writeMessage writes the message as JSON if --json is set, and the table otherwise.
func (a *app) writeMessage(message proto.Message, t *table) error {
	data, err := protoJSON(message)
	if err != nil {
		return err
	}
	return a.write(data, t)
}

// milliseconds converts a number of milliseconds to a duration.
func milliseconds(ms uint64) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
