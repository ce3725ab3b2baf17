package csyaml

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Decode reads a document into the struct that out points to. Fields are named by their yaml tags. The error is an
// *InvalidError and lists all faults. Values of the hidden fields and of misspelt fields appear in no
// fault of a document that has hidden fields.
func Decode(file string, data []byte, out any, hidden ...string) (*Document, error) {
	known := csmodel.NewSet[string]()
	collectFields(reflect.TypeOf(out).Elem(), known, csmodel.NewSet[reflect.Type]())
	d := &decoder{Document: newDocument(file, data, known, hidden)}
	root := d.parse(data)
	if root != nil {
		d.value(root, reflect.ValueOf(out).Elem(), "")
	}
	sortFaults(d.faults)
	return d.Document, d.faults.Err()
}

type decoder struct {
	*Document
	faults Faults
}

func (d *decoder) report(p position, kind Kind, path, reason, fix string) {
	d.faults.add(d.at(p, Fault{Kind: kind, Path: path, Reason: reason, Fix: fix}))
}

// unmarshaler is implemented by types with their own text form. It is the interface that YAML libraries share.
type unmarshaler interface {
	UnmarshalYAML(unmarshal func(any) error) error
}

func (d *decoder) value(n ast.Node, v reflect.Value, path string) {
	d.positions[path] = start(n)
	if u, ok := v.Addr().Interface().(unmarshaler); ok {
		d.custom(n, u, path)
		return
	}
	switch p := v.Addr().Interface().(type) {
	case *time.Duration:
		d.duration(n, p, path)
		return
	case *time.Time:
		d.time(n, p, path)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.mapping(n, v, path)
	case reflect.Slice:
		d.sequence(n, v, path)
	default:
		d.scalar(n, v, path)
	}
}

func (d *decoder) mapping(n ast.Node, v reflect.Value, path string) {
	m, ok := n.(ast.MapNode)
	if !ok {
		d.wrongType(n, path, "fields", "write one "+strings.Join(fieldNames(v.Type()), ":, ")+": on each line")
		return
	}
	seen := map[string]position{}
	for entries := m.MapRange(); entries.Next(); {
		key := entries.Key()
		name := scalarText(key)
		at := start(key)
		field, found := fieldByName(v, name)
		if !found {
			d.unknownField(at, v.Type(), name, path)
			continue
		}
		full := join(path, name)
		if first, repeated := seen[name]; repeated {
			d.report(at, Duplicate, full, fmt.Sprintf("field %s is already set in line %d", name, first.line),
				"remove one of the two")
			continue
		}
		seen[name] = at
		d.value(entries.Value(), field, full)
	}
}

func (d *decoder) unknownField(at position, t reflect.Type, name, path string) {
	names := fieldNames(t)
	fix := "remove it; the fields here are " + strings.Join(names, ", ")
	if s := Suggest(name, names); s != "" {
		fix = "write " + s
	}
	d.report(at, Unknown, join(path, name), "unknown field "+name, fix)
}

func (d *decoder) sequence(n ast.Node, v reflect.Value, path string) {
	if n.Type() == ast.NullType {
		return
	}
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		d.wrongType(n, path, "a list", "start each entry with \"- \"")
		return
	}
	if len(s.Values) == 0 {
		return
	}
	list := reflect.MakeSlice(v.Type(), len(s.Values), len(s.Values))
	for i, entry := range s.Values {
		d.value(entry, list.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
	v.Set(list)
}

func (d *decoder) custom(n ast.Node, u unmarshaler, path string) {
	if !isScalar(n) {
		d.wrongType(n, path, "a single value", "write one value")
		return
	}
	err := u.UnmarshalYAML(func(out any) error {
		text, ok := out.(*string)
		if !ok {
			return errors.New("only text is supported")
		}
		*text = scalarText(n)
		return nil
	})
	if err == nil {
		return
	}
	fix := ""
	var fixer interface{ Fix() string }
	if errors.As(err, &fixer) {
		fix = fixer.Fix()
	}
	d.report(start(n), Unit, path, err.Error(), fix)
}

func fieldNames(t reflect.Type) []string {
	names := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		names = append(names, fieldName(t.Field(i)))
	}
	return names
}

// collectFields adds the names of all fields of a type and of the types inside it.
func collectFields(t reflect.Type, names csmodel.Set[string], seen csmodel.Set[reflect.Type]) {
	if t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct || t == reflect.TypeFor[time.Time]() || seen.Has(t) {
		return
	}
	seen.Add(t)
	for i := range t.NumField() {
		names.Add(fieldName(t.Field(i)))
		collectFields(t.Field(i).Type, names, seen)
	}
}

func fieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}

func fieldByName(v reflect.Value, name string) (reflect.Value, bool) {
	for i := range v.NumField() {
		if fieldName(v.Type().Field(i)) == name {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
