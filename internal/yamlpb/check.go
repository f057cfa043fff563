package yamlpb

import (
	"fmt"
	"net"
	"net/netip"
	"regexp"
	"strconv"
	"sync"

	"github.com/go-playground/validator/v10"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/sardinedock/sardinedock/schema/options"
)

// recordName matches valid names of records, which are used in URL paths.
var recordName = regexp.MustCompile(`^[a-z0-9]([a-z0-9.:_-]*[a-z0-9])?$`)

// validate returns the shared validator with this package's additional rules.
var validate = sync.OnceValue(func() *validator.Validate {
	v := validator.New()
	mustRegister(v, "hostport_ip", isAddrPort)
	mustRegister(v, "record_name", func(fl validator.FieldLevel) bool {
		return recordName.MatchString(fl.Field().String())
	})
	return v
})

func mustRegister(v *validator.Validate, tag string, fn validator.Func) {
	if err := v.RegisterValidation(tag, fn); err != nil {
		panic(err)
	}
}

// isAddrPort accepts IP:port only, since instances do not resolve host names.
func isAddrPort(fl validator.FieldLevel) bool {
	host, port, err := net.SplitHostPort(fl.Field().String())
	if err != nil {
		return false
	}
	if _, err := netip.ParseAddr(host); err != nil {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n <= 65535
}

// check fills in the defaults of a message and applies the rules of its fields.
func (d *decoder) check(path string, msg protoreflect.Message) {
	fields := msg.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		d.checkField(join(path, string(field.Name())), msg, field)
	}
}

func (d *decoder) checkField(path string, msg protoreflect.Message, field protoreflect.FieldDescriptor) {
	rule := ruleOf(field)
	if rule.GetDefaultValue() != "" && !msg.Has(field) && !d.written(path) {
		msg.Set(field, defaultValue(field, rule.GetDefaultValue()))
	}
	d.applyRule(path, msg, field, rule)
	if field.Message() == nil {
		return
	}
	if field.IsList() {
		list := msg.Get(field).List()
		for i := range list.Len() {
			d.check(fmt.Sprintf("%s[%d]", path, i), list.Get(i).Message())
		}
		return
	}
	if msg.Has(field) || field.ContainingOneof() == nil {
		d.check(path, msg.Mutable(field).Message())
	}
}

// written reports whether the field occurs in the file.
func (d *decoder) written(path string) bool {
	return d.lines.find(path) != 0
}

func (d *decoder) applyRule(path string, msg protoreflect.Message, field protoreflect.FieldDescriptor, rule *options.FieldRule) {
	if rule.GetCheck() == "" {
		return
	}
	value := goValue(msg.Get(field), field)
	err := validate().Var(value, rule.GetCheck())
	if err == nil {
		return
	}
	remedy := rule.GetRemedy()
	if remedy == "" {
		remedy = "write a value that satisfies " + rule.GetCheck()
	}
	if rule.GetUnit() != "" {
		remedy += " (in " + rule.GetUnit() + ")"
	}
	found := fmt.Sprintf("found %v", value)
	if value == "" || !msg.Has(field) {
		found = "the field is missing or empty"
	}
	d.faults = append(d.faults, Fault{Line: d.lines.find(path), Path: path, Found: found, Remedy: remedy})
}

func ruleOf(field protoreflect.FieldDescriptor) *options.FieldRule {
	rule, _ := proto.GetExtension(field.Options(), options.E_Rule).(*options.FieldRule)
	return rule
}

// goValue returns a field's value as a type that the validator supports. Of lists of other types
// than strings it keeps the length only.
func goValue(value protoreflect.Value, field protoreflect.FieldDescriptor) any {
	if !field.IsList() {
		return value.Interface()
	}
	list := value.List()
	if field.Kind() != protoreflect.StringKind {
		return make([]struct{}, list.Len())
	}
	texts := make([]string, list.Len())
	for i := range texts {
		texts[i] = list.Get(i).String()
	}
	return texts
}

// defaultValue parses the text of a default. It panics if the text is invalid, which is a mistake
// in the schema that the first test to use the field finds.
func defaultValue(field protoreflect.FieldDescriptor, text string) protoreflect.Value {
	switch field.Kind() {
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(text)
	case protoreflect.Int64Kind:
		n, err := strconv.ParseInt(text, 10, 64)
		if err == nil {
			return protoreflect.ValueOfInt64(n)
		}
	case protoreflect.DoubleKind:
		f, err := strconv.ParseFloat(text, 64)
		if err == nil {
			return protoreflect.ValueOfFloat64(f)
		}
	}
	panic(fmt.Sprintf("schema: default %q does not fit field %s", text, field.FullName()))
}
