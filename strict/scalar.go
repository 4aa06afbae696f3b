package strict

import (
	"encoding"
	"fmt"
	"math"
	"reflect"
	"strconv"
	"time"

	"github.com/goccy/go-yaml/ast"
)

func (f *File) decodeDuration(node ast.Node, path string, target reflect.Value) {
	text, ok := scalarText(node)
	if !ok {
		f.AddError(path, "this is %s; write a time with its unit, such as 250ms, 3s or 5m", describeNode(node))
		return
	}
	if _, err := strconv.ParseFloat(text, 64); err == nil {
		f.AddError(path, "the time %s has no unit; write it with one, such as %sms or %ss", text, text, text)
		return
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		f.AddError(path, "%q is no time; write a number with its unit, such as 250ms, 3s or 5m", text)
		return
	}
	target.SetInt(int64(d))
}

func (f *File) decodeText(node ast.Node, path string, target reflect.Value) {
	text, ok := scalarText(node)
	if !ok {
		f.AddError(path, "this is %s; write one word", describeNode(node))
		return
	}
	err := target.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(text))
	if err != nil {
		f.AddError(path, "%q is not known; write %s", text, describeType(target.Type()))
	}
}

func (f *File) decodeScalar(node ast.Node, path string, target reflect.Value) {
	text, ok := scalarText(node)
	if !ok {
		f.AddError(path, "this is %s; write %s", describeNode(node), describeType(target.Type()))
		return
	}
	switch target.Kind() {
	case reflect.String:
		target.SetString(text)
	case reflect.Bool:
		f.decodeBool(node, path, target)
	case reflect.Int, reflect.Int64:
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil { // A whole number beyond 64 bits gets this message too.
			f.AddError(path, "%q is no whole number; write %s", text, describeType(target.Type()))
			return
		}
		target.SetInt(n)
	case reflect.Float64:
		n, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
			f.AddError(path, "%q is no number; write %s", text, describeType(target.Type()))
			return
		}
		target.SetFloat(n)
	default:
		panic(fmt.Sprintf("strict: the type %s is not supported", target.Type()))
	}
}

func (f *File) decodeBool(node ast.Node, path string, target reflect.Value) {
	b, ok := node.(*ast.BoolNode)
	if !ok {
		f.AddError(path, "this is %s; write true or false", describeNode(node))
		return
	}
	target.SetBool(b.Value)
}

// scalarText returns the text of a scalar: a string's without its quotes and escapes, any other as it is written.
func scalarText(node ast.Node) (string, bool) {
	switch n := node.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		return n.Value.Value, true
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode, *ast.InfinityNode, *ast.NanNode:
		return n.GetToken().Value, true
	}
	return "", false
}

// describeNode says for messages what a node is, for instance "a list".
func describeNode(node ast.Node) string {
	switch n := node.(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case *ast.NullNode:
		return "empty"
	case *ast.StringNode:
		return fmt.Sprintf("the text %q", n.Value)
	}
	return fmt.Sprintf("the value %s", node.GetToken().Value)
}

// describeType says for messages what to write for a type, for instance "a whole number".
func describeType(t reflect.Type) string {
	if t == durationType {
		return "a time with its unit, such as 250ms"
	}
	if reflect.PointerTo(t).Implements(textUnmarshalerType) {
		return "one of: " + enumNames(t)
	}
	switch t.Kind() {
	case reflect.Struct:
		return "a mapping of its fields"
	case reflect.Slice:
		return "a list, or [] for none"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	default:
		return "a text"
	}
}

// maxEnumNames bounds the number of names that enumNames lists; the list of a type with more names is incomplete.
const maxEnumNames = 16

// enumNames returns the names of an enum type whose values count up from 0, separated by commas.
func enumNames(t reflect.Type) string {
	list := ""
	for i := range int64(maxEnumNames) {
		value := reflect.New(t).Elem()
		value.SetInt(i)
		text, err := value.Interface().(encoding.TextMarshaler).MarshalText()
		if err != nil || value.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText(text) != nil {
			break
		}
		if list != "" {
			list += ", "
		}
		list += string(text)
	}
	return list
}
