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

// table is what a command shows to people.
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

// writeJSON writes any value that encoding/json takes.
func (a *app) writeJSON(value any) error {
	data, err := json.MarshalIndent(value, "", jsonIndent)
	if err != nil {
		return fmt.Errorf("write JSON: %w", err)
	}
	a.print(string(data))
	return nil
}

// write writes the value as JSON, or the table if JSON is not asked for.
func (a *app) write(value any, t *table) error {
	if a.JSON {
		return a.writeJSON(value)
	}
	return a.writeTable(t)
}

// raw returns the JSON form of a message with the field names of the protocol
// and every field present. Numbers of 64 bits are strings, as in all proto3 JSON.
func raw(message proto.Message) (json.RawMessage, error) {
	return protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(message)
}

// show writes the message as JSON, or the table if JSON is not asked for.
func (a *app) show(message proto.Message, t *table) error {
	data, err := raw(message)
	if err != nil {
		return err
	}
	return a.write(data, t)
}

// milliseconds shows a span given in milliseconds.
func milliseconds(ms uint64) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
