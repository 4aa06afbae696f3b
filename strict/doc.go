// Package strict reads YAML files into typed values and finds every mistake in
// them, not only the first: each Problem names file, line, column and the path
// of the field, and says what to write instead.
//
// The text is parsed by goccy/go-yaml; this package walks the parsed tree
// beside the Go type. The library's own strict decoding stops at the first
// mistake, which is why it is not used. Anchors and aliases are refused.
package strict
