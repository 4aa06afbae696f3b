package entry

import "strings"

// basePrefix begins the line in which "get" writes, and "apply" reads, the version that a file was made from.
const basePrefix = "# chicoryctl: made from version "

// withBase puts the version's ETag before a text.
func withBase(text, tag string) string {
	return basePrefix + tag + "\n" + text
}

// splitBase takes the version's ETag off a text; it is empty when there is none.
func splitBase(text string) (rest, tag string) {
	line, rest, found := strings.Cut(text, "\n")
	tag, marked := strings.CutPrefix(strings.TrimRight(line, "\r"), basePrefix)
	if !found || !marked {
		return text, ""
	}
	return rest, strings.TrimSpace(tag)
}
