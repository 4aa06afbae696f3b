// Package strict decodes YAML files into Go structs and reports every mistake in
// them, not only the first. Each Problem gives the file, line, column and path of
// the field, and says what to write instead.
//
// The text is parsed by goccy/go-yaml. This package then decodes the syntax tree
// itself, because the library's own strict decoding stops at the first mistake.
// Anchors, aliases and tags are rejected.
package strict
