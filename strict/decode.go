package strict

import (
	"encoding"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

var (
	durationType = reflect.TypeFor[time.Duration]()
	textType     = reflect.TypeFor[encoding.TextUnmarshaler]()
)

func decodeRoot(f *File, node ast.Node, into any) {
	f.value(node, "", reflect.ValueOf(into).Elem())
}

// value decodes one node into target, whose path is given.
func (f *File) value(node ast.Node, path string, target reflect.Value) {
	if _, known := f.places[path]; !known {
		f.places[path] = nodePlace(node)
	}
	switch node.(type) {
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode, *ast.MergeKeyNode:
		f.Report(path, "anchors, aliases and tags are not read; write the value out")
		return
	}
	switch {
	case target.Type() == durationType:
		f.duration(node, path, target)
	case reflect.PointerTo(target.Type()).Implements(textType):
		f.text(node, path, target)
	case target.Kind() == reflect.Struct:
		f.mapping(node, path, target)
	case target.Kind() == reflect.Slice:
		f.sequence(node, path, target)
	default:
		f.scalar(node, path, target)
	}
}

// field is one field of a struct as its yaml tag describes it.
type field struct {
	name     string
	index    int
	required bool
}

func fieldsOf(t reflect.Type) []field {
	var fields []field
	for i := range t.NumField() {
		name, options, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		if name == "" || name == "-" {
			continue
		}
		fields = append(fields, field{name: name, index: i, required: options != "omitempty"})
	}
	return fields
}

func (f *File) mapping(node ast.Node, path string, target reflect.Value) {
	entries, ok := mappingEntries(node)
	if !ok {
		f.Report(path, "this is %s; write a mapping of fields", describe(node))
		return
	}
	fields := fieldsOf(target.Type())
	seen := map[string]bool{}
	for _, entry := range entries {
		f.entry(entry, path, target, fields, seen)
	}
	for _, known := range fields {
		if known.required && !seen[known.name] {
			f.Report(join(path, known.name), "the field is missing; write %s: %s", known.name, example(target.Field(known.index).Type()))
		}
	}
}

func (f *File) entry(entry *ast.MappingValueNode, path string, target reflect.Value, fields []field, seen map[string]bool) {
	key := entry.Key.GetToken()
	name := key.Value
	inner := join(path, name)
	at := placeOf(key)
	i := slices.IndexFunc(fields, func(known field) bool { return known.name == name })
	if i < 0 {
		f.add(at, inner, false, "the key is unknown; write one of: %s", names(fields))
		return
	}
	if seen[name] {
		f.add(at, inner, false, "the key is given twice; write it once")
		return
	}
	seen[name] = true
	f.places[inner] = at
	f.value(entry.Value, inner, target.Field(fields[i].index))
}

func (f *File) sequence(node ast.Node, path string, target reflect.Value) {
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		f.Report(path, "this is %s; write a list, each entry behind \"- \"", describe(node))
		return
	}
	decoded := reflect.MakeSlice(target.Type(), len(list.Values), len(list.Values))
	for i, entry := range list.Values {
		f.value(entry, fmt.Sprintf("%s[%d]", path, i), decoded.Index(i))
	}
	target.Set(decoded)
}

func mappingEntries(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	}
	return nil, false
}

// nodePlace returns where a node's text begins.
func nodePlace(node ast.Node) place {
	if entries, ok := mappingEntries(node); ok && len(entries) > 0 {
		return placeOf(entries[0].Key.GetToken())
	}
	return placeOf(node.GetToken())
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func names(fields []field) string {
	list := make([]string, len(fields))
	for i := range fields {
		list[i] = fields[i].name
	}
	return strings.Join(list, ", ")
}
