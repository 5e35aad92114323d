package cli

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// print writes m as JSON, or the table that rows returns, depending on --output.
// The first row is the header.
func (a *app) print(m proto.Message, rows func() [][]string) error {
	if a.global.Output == "json" {
		return a.printJSON(m)
	}
	w := tabwriter.NewWriter(a.env.Stdout, 0, 0, 2, ' ', 0)
	for _, row := range rows() {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write the response: %w", err)
	}
	return nil
}

// printJSON re-encodes the output of protojson with encoding/json, since protojson
// deliberately varies its white space.
func (a *app) printJSON(m proto.Message) error {
	data, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode the response: %w", err)
	}
	var value any
	if err := json.Unmarshal(data, &value); err != nil {
		return fmt.Errorf("encode the response: %w", err)
	}
	encoder := json.NewEncoder(a.env.Stdout)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		return fmt.Errorf("write the response: %w", err)
	}
	return nil
}

// cell formats a table cell; an empty value is shown as "-".
func cell(value any) string {
	s := fmt.Sprint(value)
	if s == "" {
		return "-"
	}
	return s
}

func listCell(values []string) string { return cell(strings.Join(values, ",")) }

func row(values ...any) []string {
	cells := make([]string, len(values))
	for i, value := range values {
		cells[i] = cell(value)
	}
	return cells
}

func versionRow(v *statev1.VersionInfo) []string {
	at := time.UnixMilli(v.GetWallTimeMs()).UTC().Format(time.RFC3339)
	return row(v.GetVersion(), v.GetAuthor(), at, v.GetComment(), v.GetRequestId())
}

func conflictText(message string, v *statev1.VersionInfo) string {
	if v == nil {
		return message
	}
	at := time.UnixMilli(v.GetWallTimeMs()).UTC().Format(time.RFC3339)
	return fmt.Sprintf("%s; the present version is %d, by %s at %s (%q)", message, v.GetVersion(), v.GetAuthor(), at, v.GetComment())
}
