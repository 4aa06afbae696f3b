// Package strict decodes YAML files into Go structs and reports every error in
// them, not only the first. Each Problem gives the file, line, column and path of
// the field, and says what to write instead.
//
// The path of a field consists of the names of the fields around it and indices
// from 0, such as "classes[0].timeout"; the path of the whole file is empty. Fields
// without a yaml tag are ignored. A field may be a struct, slice, string, bool, int,
// int64, float64 or time.Duration, or an integer enum that has MarshalText and
// UnmarshalText and whose values count up from 0.
//
// The text is parsed by goccy/go-yaml. This package then decodes the syntax tree
// itself, because the library's own strict decoding stops at the first error.
// Anchors, aliases, merge keys and tags are rejected.
package strict
