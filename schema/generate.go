// Package schema holds the protobuf schema of sardinedock's settings, records
// and messages between instances. The generated Go packages stand beside the
// schema and are committed, so that a build needs no generator.
package schema

//go:generate go tool -modfile=../tools/go.mod buf generate
