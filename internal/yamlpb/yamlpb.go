// Package yamlpb decodes YAML into protobuf messages and validates the values by the rules in
// the schema. It reports all faults of a file at once, each with its line, field path and
// remedy.
package yamlpb

import (
	"fmt"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// Fault is one error in a file.
type Fault struct {
	// Line is the line number, from 1; 0 if the fault belongs to no line.
	Line int
	// Path is the path of the field, such as "listen.callers" or "pool.endpoints[2]".
	Path string
	// Found describes what was found in the file.
	Found string
	// Remedy says what to write instead.
	Remedy string
}

// String formats the fault on one line.
func (f Fault) String() string {
	var b strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", f.Line)
	}
	if f.Path != "" {
		fmt.Fprintf(&b, "%s: ", f.Path)
	}
	fmt.Fprintf(&b, "%s; %s", f.Found, f.Remedy)
	return b.String()
}

// DecodeOne decodes a YAML file with exactly one document, as Decode does. For any other number of
// documents it returns a nil message and adds a fault with the given remedy.
func DecodeOne[M proto.Message](data []byte, newMessage func() M, remedy string) (M, []Fault) {
	documents, faults := Decode(data, func() proto.Message { return newMessage() })
	if len(documents) != 1 {
		var none M
		return none, append(faults, Fault{Found: "the file does not hold exactly one document", Remedy: remedy})
	}
	return documents[0].(M), faults
}

// Decode decodes the documents of a YAML file, each into a message from newMessage. Messages are
// returned even if there are faults, but must not be used then.
func Decode(data []byte, newMessage func() proto.Message) ([]proto.Message, []Fault) {
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, []Fault{{Found: firstLine(err.Error()), Remedy: "write valid YAML"}}
	}
	var messages []proto.Message
	var faults []Fault
	for _, doc := range file.Docs {
		if doc.Body == nil {
			continue
		}
		msg := newMessage()
		d := decoder{}
		d.message("", doc.Body, msg.ProtoReflect())
		d.check("", msg.ProtoReflect())
		messages = append(messages, msg)
		faults = append(faults, d.faults...)
	}
	return messages, faults
}

// Check fills in the defaults of a message that was not read from YAML, and validates it.
func Check(msg proto.Message) []Fault {
	d := decoder{}
	d.check("", msg.ProtoReflect())
	return d.faults
}

func firstLine(s string) string {
	line, _, _ := strings.Cut(s, "\n")
	return line
}

// decoder decodes one document and collects its faults.
type decoder struct {
	faults []Fault
	lines  fieldLines
}

// fieldLines records the line number of each field path.
type fieldLines struct {
	paths []string
	lines []int
}

func (l *fieldLines) add(path string, line int) {
	l.paths = append(l.paths, path)
	l.lines = append(l.lines, line)
}

func (l *fieldLines) find(path string) int {
	for i, p := range l.paths {
		if p == path {
			return l.lines[i]
		}
	}
	return 0
}

func (d *decoder) fault(node ast.Node, path, remedy, format string, args ...any) {
	line := 0
	if node != nil {
		line = node.GetToken().Position.Line
	}
	d.faults = append(d.faults, Fault{Line: line, Path: path, Found: fmt.Sprintf(format, args...), Remedy: remedy})
}

func (d *decoder) message(path string, node ast.Node, msg protoreflect.Message) {
	var values []*ast.MappingValueNode
	switch n := node.(type) {
	case *ast.MappingNode:
		values = n.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{n}
	case *ast.NullNode:
		return
	default:
		d.fault(node, path, "write a mapping of field names to values", "found %s", node.Type())
		return
	}
	for _, v := range values {
		d.field(path, v, msg)
	}
}

func (d *decoder) field(path string, v *ast.MappingValueNode, msg protoreflect.Message) {
	name := v.Key.String()
	full := join(path, name)
	field := msg.Descriptor().Fields().ByName(protoreflect.Name(name))
	if field == nil {
		d.fault(v.Key, full, "use one of: "+fieldNames(msg.Descriptor()), "unknown field %q", name)
		return
	}
	d.lines.add(full, v.Key.GetToken().Position.Line)
	if _, null := v.Value.(*ast.NullNode); null {
		return
	}
	if field.IsList() {
		d.list(full, v.Value, field, msg.Mutable(field).List())
		return
	}
	if field.Message() != nil {
		d.message(full, v.Value, msg.Mutable(field).Message())
		return
	}
	if value, ok := d.scalar(full, v.Value, field); ok {
		msg.Set(field, value)
	}
}

func (d *decoder) list(path string, node ast.Node, field protoreflect.FieldDescriptor, list protoreflect.List) {
	seq, ok := node.(*ast.SequenceNode)
	if !ok {
		d.fault(node, path, "write a list", "found %s", node.Type())
		return
	}
	for i, item := range seq.Values {
		at := fmt.Sprintf("%s[%d]", path, i)
		d.lines.add(at, item.GetToken().Position.Line)
		if field.Message() != nil {
			element := list.NewElement()
			d.message(at, item, element.Message())
			list.Append(element)
			continue
		}
		if value, ok := d.scalar(at, item, field); ok {
			list.Append(value)
		}
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func fieldNames(m protoreflect.MessageDescriptor) string {
	fields := m.Fields()
	names := make([]string, 0, fields.Len())
	for i := range fields.Len() {
		names = append(names, string(fields.Get(i).Name()))
	}
	return strings.Join(names, ", ")
}
