// Package docs tests that the documentation for operators matches the code.
package docs

import (
	"flag"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/sardinedock/sardinedock/schema/loadpb"
	"github.com/sardinedock/sardinedock/schema/options"
	"github.com/sardinedock/sardinedock/schema/recordspb"
	"github.com/sardinedock/sardinedock/schema/settingspb"
)

var refresh = flag.Bool("refresh", false, "regenerate docs/SETTINGS.md")

const (
	settingsPage = "../../docs/SETTINGS.md"
	settingsHead = `# Settings, records and loads

Written from the schema by ` + "`go test ./internal/docs -refresh`" + `; don't edit.
Rules are those of go-playground/validator. ` + "`sardinedock check FILE...`" + ` applies
them to a file and names every fault with its line and a remedy.
`
)

// Operators read the page without the program at hand. A field or default that the program no
// longer has would mislead them.
func TestSettingsPageMatchesTheSchema(t *testing.T) {
	page := settingsHead +
		section(t, "Settings of an instance", "settings.proto", settingspb.File_settings_proto) +
		section(t, "Records", "records.proto", recordspb.File_records_proto) +
		section(t, "Loads and emulated endpoints (`sardinedock load`, `sardinedock emulate`)", "load.proto", loadpb.File_load_proto)
	if *refresh {
		if err := os.WriteFile(settingsPage, []byte(page), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	current, err := os.ReadFile(settingsPage)
	if err != nil || string(current) != page {
		t.Fatalf("docs/SETTINGS.md does not match the schema (%v); run: go test ./internal/docs -refresh", err)
	}
}

func section(t *testing.T, title, source string, file protoreflect.FileDescriptor) string {
	text, err := os.ReadFile("../../schema/" + source)
	if err != nil {
		t.Fatal(err)
	}
	comments := fieldComments(string(text))
	var b strings.Builder
	fmt.Fprintf(&b, "\n## %s\n", title)
	for i := range file.Messages().Len() {
		m := file.Messages().Get(i)
		fmt.Fprintf(&b, "\n### %s\n\n| field | type | default | unit | rule | meaning |\n|---|---|---|---|---|---|\n", m.Name())
		for j := range m.Fields().Len() {
			f := m.Fields().Get(j)
			rule, _ := proto.GetExtension(f.Options(), options.E_Rule).(*options.FieldRule)
			row := []string{string(f.Name()), typeName(f), rule.GetDefaultValue(), rule.GetUnit(), rule.GetCheck(), comments[m.Name()+"."+f.Name()]}
			fmt.Fprintf(&b, "| %s |\n", strings.ReplaceAll(strings.Join(row, " | "), "\n", " "))
		}
	}
	return b.String()
}

func typeName(f protoreflect.FieldDescriptor) string {
	name := f.Kind().String()
	if f.Message() != nil {
		name = string(f.Message().Name())
	}
	if f.Enum() != nil {
		name = string(f.Enum().Name())
	}
	if f.IsList() {
		return "list of " + name
	}
	return name
}

var (
	messageLine = regexp.MustCompile(`^message (\w+) \{`)
	commentLine = regexp.MustCompile(`^\s+// (.*)`)
	fieldLine   = regexp.MustCompile(`^\s+(?:repeated |optional )?[\w.]+ (\w+) = \d+`)
)

// fieldComments reads the comment above each field from the source, since compiled schemas
// contain no comments.
func fieldComments(source string) map[protoreflect.Name]string {
	comments := map[protoreflect.Name]string{}
	var message string
	var open []string
	for line := range strings.SplitSeq(source, "\n") {
		if m := messageLine.FindStringSubmatch(line); m != nil {
			message, open = m[1], nil
		} else if m := commentLine.FindStringSubmatch(line); m != nil {
			open = append(open, m[1])
		} else if m := fieldLine.FindStringSubmatch(line); m != nil {
			comments[protoreflect.Name(message+"."+m[1])] = strings.Join(open, " ")
			open = nil
		} else {
			open = nil
		}
	}
	return comments
}
