// Package document reads and writes the configuration document as TOML or JSON.
//
// Field names are those of api/state/v1/config.proto. Enum values are written
// without their prefix and in lower case: "model" for ROUTE_KIND_MODEL. Unknown
// fields, wrong types and values out of range are reported together. Whether
// the document is consistent is checked by state/config, not here.
package document

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// Fault is one field that is unknown or has an invalid value.
type Fault struct {
	// Field is the path of the field, for example "routes[2].kind".
	Field   string
	Value   string
	Allowed string
}

// Error returns the fault as one line.
func (f Fault) Error() string {
	return fmt.Sprintf("%s = %s: allowed: %s", f.Field, f.Value, f.Allowed)
}

// Faults lists all faults of a document.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].Error()
	}
	return strings.Join(lines, "\n")
}

// ReadFile reads a configuration document; the extension .json means JSON, any
// other means TOML.
func ReadFile(path string) (*statev1.Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	c, err := Parse(data, filepath.Ext(path) == ".json")
	if err != nil {
		return nil, fmt.Errorf("%s:\n%w", path, err)
	}
	return c, nil
}

// Parse reads a configuration document.
func Parse(data []byte, isJSON bool) (*statev1.Config, error) {
	values, err := decode(data, isJSON)
	if err != nil {
		return nil, err
	}
	c := &statev1.Config{}
	r := &reader{}
	r.message("", values, c.ProtoReflect())
	if len(r.faults) > 0 {
		return nil, r.faults
	}
	return c, nil
}

func decode(data []byte, isJSON bool) (map[string]any, error) {
	values := make(map[string]any)
	if !isJSON {
		if err := toml.Unmarshal(data, &values); err != nil {
			return nil, fmt.Errorf("not valid TOML: %w", err)
		}
		return values, nil
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	if err := d.Decode(&values); err != nil {
		return nil, fmt.Errorf("not valid JSON: %w", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, fmt.Errorf("not valid JSON: text after the document")
	}
	return values, nil
}

// reader fills messages from decoded values and collects the faults.
type reader struct {
	faults Faults
}

func (r *reader) add(field string, value any, allowed string) {
	r.faults = append(r.faults, Fault{Field: field, Value: formatValue(value), Allowed: allowed})
}

// formatValue returns the text of a value in a fault. Long values, such as a
// table where a single value is expected, are truncated to keep the fault on one
// line.
func formatValue(value any) string {
	const maxLength = 80
	text := fmt.Sprint(value)
	if s, ok := value.(string); ok {
		text = strconv.Quote(s)
	}
	if len(text) > maxLength {
		text = text[:maxLength] + "..."
	}
	return text
}

func (r *reader) message(path string, values map[string]any, m protoreflect.Message) {
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		field := m.Descriptor().Fields().ByName(protoreflect.Name(name))
		fieldPath := strings.TrimPrefix(path+"."+name, ".")
		if field == nil {
			r.add(fieldPath, values[name], "a field of "+string(m.Descriptor().Name())+": "+fieldNames(m.Descriptor()))
			continue
		}
		r.field(fieldPath, values[name], m, field)
	}
}

func fieldNames(d protoreflect.MessageDescriptor) string {
	var names []string
	for i := range d.Fields().Len() {
		names = append(names, string(d.Fields().Get(i).Name()))
	}
	return strings.Join(names, ", ")
}

func (r *reader) field(path string, value any, m protoreflect.Message, field protoreflect.FieldDescriptor) {
	if !field.IsList() {
		if field.Message() != nil {
			r.child(path, value, m.Mutable(field).Message())
			return
		}
		if v, ok := r.scalar(path, value, field); ok {
			m.Set(field, v)
		}
		return
	}
	items, ok := value.([]any)
	if !ok {
		r.add(path, value, "a list")
		return
	}
	list := m.Mutable(field).List()
	for i, item := range items {
		itemPath := fmt.Sprintf("%s[%d]", path, i)
		if field.Message() != nil {
			element := list.NewElement()
			r.child(itemPath, item, element.Message())
			list.Append(element)
			continue
		}
		if v, ok := r.scalar(itemPath, item, field); ok {
			list.Append(v)
		}
	}
}

func (r *reader) child(path string, value any, m protoreflect.Message) {
	values, ok := value.(map[string]any)
	if !ok {
		r.add(path, value, "a table with fields of "+string(m.Descriptor().Name()))
		return
	}
	r.message(path, values, m)
}

func (r *reader) scalar(path string, value any, field protoreflect.FieldDescriptor) (protoreflect.Value, bool) {
	v, allowed := convert(value, field)
	if allowed != "" {
		r.add(path, value, allowed)
		return protoreflect.Value{}, false
	}
	return v, true
}

// convert returns the value as the field's type, or a description of the allowed
// values if it has the wrong type or range.
func convert(value any, field protoreflect.FieldDescriptor) (v protoreflect.Value, allowed string) {
	switch field.Kind() {
	case protoreflect.StringKind:
		if s, ok := value.(string); ok {
			return protoreflect.ValueOfString(s), ""
		}
		return v, "a string"
	case protoreflect.BoolKind:
		if b, ok := value.(bool); ok {
			return protoreflect.ValueOfBool(b), ""
		}
		return v, "true or false"
	case protoreflect.BytesKind:
		s, _ := value.(string)
		if b, err := base64.StdEncoding.DecodeString(s); err == nil && s != "" {
			return protoreflect.ValueOfBytes(b), ""
		}
		return v, "bytes in base64"
	case protoreflect.EnumKind:
		return convertEnum(value, field.Enum())
	default:
		return convertNumber(value, field.Kind())
	}
}

func convertEnum(value any, d protoreflect.EnumDescriptor) (v protoreflect.Value, allowed string) {
	s, _ := value.(string)
	var names []string
	for i := range d.Values().Len() {
		item := d.Values().Get(i)
		if item.Number() == 0 {
			continue
		}
		if s == shortName(item) || s == string(item.Name()) {
			return protoreflect.ValueOfEnum(item.Number()), ""
		}
		names = append(names, strconv.Quote(shortName(item)))
	}
	return v, strings.Join(names, " or ")
}

// shortName removes the enum's prefix: ROUTE_KIND_MODEL becomes model. The
// prefix is that of the zero value, which ends in UNSPECIFIED.
func shortName(v protoreflect.EnumValueDescriptor) string {
	zero := v.Parent().(protoreflect.EnumDescriptor).Values().ByNumber(0)
	prefix := strings.TrimSuffix(string(zero.Name()), "UNSPECIFIED")
	return strings.ToLower(strings.TrimPrefix(string(v.Name()), prefix))
}

func convertNumber(value any, kind protoreflect.Kind) (v protoreflect.Value, allowed string) {
	text := fmt.Sprint(value)
	if s, ok := value.(string); ok {
		text = "string " + s // a number in quotes is refused
	}
	switch kind {
	case protoreflect.Int32Kind:
		if n, err := strconv.ParseInt(text, 10, 32); err == nil {
			return protoreflect.ValueOfInt32(int32(n)), ""
		}
		return v, fmt.Sprintf("a whole number from %d to %d", math.MinInt32, math.MaxInt32)
	case protoreflect.Uint32Kind:
		if n, err := strconv.ParseUint(text, 10, 32); err == nil {
			return protoreflect.ValueOfUint32(uint32(n)), ""
		}
		return v, fmt.Sprintf("a whole number from 0 to %d", uint32(math.MaxUint32))
	case protoreflect.Uint64Kind:
		if n, err := strconv.ParseUint(text, 10, 64); err == nil {
			return protoreflect.ValueOfUint64(n), ""
		}
		return v, fmt.Sprintf("a whole number from 0 to %d", uint64(math.MaxUint64))
	default:
		return v, "nothing; fields of kind " + kind.String() + " are not supported"
	}
}

// Set sets one field from text, in the format of the command-line tool: the items
// of a list are separated by commas, and an empty text resets the field.
func Set(m proto.Message, name, text string) error {
	r := m.ProtoReflect()
	field := r.Descriptor().Fields().ByName(protoreflect.Name(name))
	if field == nil || field.Message() != nil {
		return Fault{Field: name, Value: formatValue(text), Allowed: "a field of " + string(r.Descriptor().Name()) + ": " + fieldNames(r.Descriptor())}
	}
	r.Clear(field)
	if text == "" {
		return nil
	}
	parts := []string{text}
	if field.IsList() {
		parts = strings.Split(text, ",")
	}
	for _, part := range parts {
		v, allowed := convert(textValue(part, field.Kind()), field)
		if allowed != "" {
			return Fault{Field: name, Value: formatValue(part), Allowed: allowed}
		}
		if field.IsList() {
			r.Mutable(field).List().Append(v)
			continue
		}
		r.Set(field, v)
	}
	return nil
}

func textValue(text string, kind protoreflect.Kind) any {
	switch kind {
	case protoreflect.StringKind, protoreflect.BytesKind, protoreflect.EnumKind:
		return text
	case protoreflect.BoolKind:
		if slices.Contains([]string{"true", "false"}, text) {
			return text == "true"
		}
		return text
	default:
		return json.Number(text)
	}
}

// Values returns a message as nested maps with the field names of the proto
// file. Fields with their zero value are omitted.
func Values(m proto.Message) map[string]any {
	return valuesOf(m.ProtoReflect())
}

func valuesOf(m protoreflect.Message) map[string]any {
	values := make(map[string]any)
	m.Range(func(field protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		if !field.IsList() {
			values[string(field.Name())] = valueOf(field, v)
			return true
		}
		items := make([]any, 0, v.List().Len())
		for i := range v.List().Len() {
			items = append(items, valueOf(field, v.List().Get(i)))
		}
		values[string(field.Name())] = items
		return true
	})
	return values
}

func valueOf(field protoreflect.FieldDescriptor, v protoreflect.Value) any {
	switch field.Kind() {
	case protoreflect.MessageKind:
		return valuesOf(v.Message())
	case protoreflect.EnumKind:
		if item := field.Enum().Values().ByNumber(v.Enum()); item != nil {
			return shortName(item)
		}
		return int32(v.Enum())
	case protoreflect.BytesKind:
		return base64.StdEncoding.EncodeToString(v.Bytes())
	default:
		return v.Interface()
	}
}

// TOML writes a configuration document that Parse reads.
func TOML(c *statev1.Config) ([]byte, error) {
	return toml.Marshal(Values(c))
}

// JSON writes a configuration document that Parse reads.
func JSON(c *statev1.Config) ([]byte, error) {
	return json.MarshalIndent(Values(c), "", "  ")
}
