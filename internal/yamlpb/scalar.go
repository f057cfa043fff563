package yamlpb

import (
	"math"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// scalar converts a YAML value to the field's type. It reports false after recording a fault.
func (d *decoder) scalar(path string, node ast.Node, field protoreflect.FieldDescriptor) (protoreflect.Value, bool) {
	switch field.Kind() {
	case protoreflect.StringKind:
		return d.text(path, node)
	case protoreflect.BoolKind:
		if b, ok := node.(*ast.BoolNode); ok {
			return protoreflect.ValueOfBool(b.Value), true
		}
		d.fault(node, path, "write true or false", "found %q", node.String())
	case protoreflect.Int32Kind:
		if n, ok := d.integer(path, node, math.MinInt32, math.MaxInt32); ok {
			return protoreflect.ValueOfInt32(int32(n)), true
		}
	case protoreflect.Int64Kind:
		if n, ok := d.integer(path, node, math.MinInt64, math.MaxInt64); ok {
			return protoreflect.ValueOfInt64(n), true
		}
	case protoreflect.DoubleKind:
		if f, err := strconv.ParseFloat(node.String(), 64); err == nil && !math.IsNaN(f) && !math.IsInf(f, 0) {
			return protoreflect.ValueOfFloat64(f), true
		}
		d.fault(node, path, "write a number", "found %q", node.String())
	case protoreflect.EnumKind:
		value := field.Enum().Values().ByName(protoreflect.Name(node.String()))
		if value != nil {
			return protoreflect.ValueOfEnum(value.Number()), true
		}
		d.fault(node, path, "use one of: "+enumNames(field.Enum()), "found %q", node.String())
	default:
		d.fault(node, path, "leave it out", "fields of kind %s cannot be written in YAML", field.Kind())
	}
	return protoreflect.Value{}, false
}

func (d *decoder) text(path string, node ast.Node) (protoreflect.Value, bool) {
	switch n := node.(type) {
	case *ast.StringNode:
		return protoreflect.ValueOfString(n.Value), true
	case *ast.LiteralNode:
		return protoreflect.ValueOfString(n.Value.Value), true
	case *ast.IntegerNode, *ast.FloatNode:
		return protoreflect.ValueOfString(node.GetToken().Value), true
	}
	d.fault(node, path, "write a text, in quotes if need be", "found %s", node.Type())
	return protoreflect.Value{}, false
}

func (d *decoder) integer(path string, node ast.Node, low, high int64) (int64, bool) {
	if _, ok := node.(*ast.IntegerNode); ok {
		n, err := strconv.ParseInt(strings.ReplaceAll(node.GetToken().Value, "_", ""), 0, 64)
		if err == nil && n >= low && n <= high {
			return n, true
		}
	}
	d.fault(node, path, "write a whole number", "found %q", node.String())
	return 0, false
}

func enumNames(e protoreflect.EnumDescriptor) string {
	names := make([]string, 0, e.Values().Len())
	for i := range e.Values().Len() {
		names = append(names, string(e.Values().Get(i).Name()))
	}
	return strings.Join(names, ", ")
}
