package main

import (
	"embed"
	"encoding/json"
	"fmt"
	"strings"
	"text/template"
)

// The messages and names of the users' pages are data, in one place.
//
//go:embed wire
var wireFiles embed.FS

var messages = template.Must(template.ParseFS(wireFiles, "wire/*"))

// wire are the names of headers and paths.
var wire = func() (names struct{ Headers, Paths map[string]string }) {
	data, err := wireFiles.ReadFile("wire/names.json")
	if err == nil {
		err = json.Unmarshal(data, &names)
	}
	if err != nil {
		panic(err)
	}
	return names
}()

// fill returns a message with its fields filled in.
func fill(name string, fields any) string {
	var text strings.Builder
	if err := messages.ExecuteTemplate(&text, name, fields); err != nil {
		fatal("message %s: %v", name, err)
	}
	return text.String()
}

// fillHead is fill for a message of HTTP, whose lines end with CRLF.
func fillHead(name string, fields any) string {
	return strings.ReplaceAll(fill(name, fields), "\n", "\r\n")
}

// lookUp returns the value at a path of names and indexes, separated by dots.
func lookUp(values any, path string) (any, error) {
	for name := range strings.SplitSeq(path, ".") {
		switch v := values.(type) {
		case map[string]any:
			values = v[name]
		case []any:
			var n int
			if _, err := fmt.Sscan(name, &n); err != nil || n >= len(v) {
				return nil, fmt.Errorf("no entry %q in %s", name, path)
			}
			values = v[n]
		}
	}
	if values == nil {
		return nil, fmt.Errorf("no value for %s", path)
	}
	return values, nil
}
