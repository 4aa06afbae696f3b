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
	durationType        = reflect.TypeFor[time.Duration]()
	textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
)

func decodeRoot(f *File, node ast.Node, into any) {
	f.decodeValue(node, "", reflect.ValueOf(into).Elem())
}

// decodeValue decodes a node into target, the value of the field with the given path.
func (f *File) decodeValue(node ast.Node, path string, target reflect.Value) {
	if _, recorded := f.positions[path]; !recorded { // decodeEntry has recorded the position of the key, if there is one.
		f.positions[path] = nodePosition(node)
	}
	switch node.(type) {
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode, *ast.MergeKeyNode:
		f.AddError(path, "anchors, aliases and tags are not read; write the value out")
		return
	}
	switch {
	case target.Type() == durationType:
		f.decodeDuration(node, path, target)
	case reflect.PointerTo(target.Type()).Implements(textUnmarshalerType):
		f.decodeText(node, path, target)
	case target.Kind() == reflect.Struct:
		f.decodeMapping(node, path, target)
	case target.Kind() == reflect.Slice:
		f.decodeSequence(node, path, target)
	default:
		f.decodeScalar(node, path, target)
	}
}

// field describes a field of a struct by its yaml tag.
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

func (f *File) decodeMapping(node ast.Node, path string, target reflect.Value) {
	entries, ok := mappingEntries(node)
	if !ok {
		f.AddError(path, "this is %s; write a mapping of fields", describeNode(node))
		return
	}
	fields := fieldsOf(target.Type())
	seen := map[string]bool{}
	for _, entry := range entries {
		f.decodeEntry(entry, path, target, fields, seen)
	}
	for _, known := range fields {
		if known.required && !seen[known.name] {
			f.AddError(joinPath(path, known.name), "the field is missing; write %s: %s", known.name, describeType(target.Field(known.index).Type()))
		}
	}
}

func (f *File) decodeEntry(entry *ast.MappingValueNode, path string, target reflect.Value, fields []field, seen map[string]bool) {
	key := entry.Key.GetToken()
	name := key.Value
	fieldPath := joinPath(path, name)
	pos := tokenPosition(key)
	i := slices.IndexFunc(fields, func(known field) bool { return known.name == name })
	if i < 0 {
		f.addProblem(pos, fieldPath, false, "the key is unknown; write one of: %s", fieldNames(fields))
		return
	}
	if seen[name] {
		f.addProblem(pos, fieldPath, false, "the key is given twice; write it once")
		return
	}
	seen[name] = true
	f.positions[fieldPath] = pos
	f.decodeValue(entry.Value, fieldPath, target.Field(fields[i].index))
}

func (f *File) decodeSequence(node ast.Node, path string, target reflect.Value) {
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		f.AddError(path, "this is %s; write a list, each entry behind \"- \"", describeNode(node))
		return
	}
	decoded := reflect.MakeSlice(target.Type(), len(list.Values), len(list.Values))
	for i, entry := range list.Values {
		f.decodeValue(entry, fmt.Sprintf("%s[%d]", path, i), decoded.Index(i))
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

// nodePosition returns the position at which a node begins.
func nodePosition(node ast.Node) position {
	if entries, ok := mappingEntries(node); ok && len(entries) > 0 {
		return tokenPosition(entries[0].Key.GetToken())
	}
	return tokenPosition(node.GetToken())
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func fieldNames(fields []field) string {
	list := make([]string, len(fields))
	for i := range fields {
		list[i] = fields[i].name
	}
	return strings.Join(list, ", ")
}
