package entry

import "strings"

// basePrefix starts the first line of a file written by "get". The rest of the line is the ETag of the newest version, on
// which a change of the file is based. "apply" reads it.
const basePrefix = "# chicoryctl: made from version "

// withBase adds a first line with the version's ETag to a text.
func withBase(text, tag string) string {
	return basePrefix + tag + "\n" + text
}

// splitBase removes the line with the version's ETag from a text. The tag is empty if there is no such line.
func splitBase(text string) (rest, tag string) {
	line, rest, found := strings.Cut(text, "\n")
	tag, hasPrefix := strings.CutPrefix(strings.TrimRight(line, "\r"), basePrefix)
	if !found || !hasPrefix {
		return text, ""
	}
	return rest, strings.TrimSpace(tag)
}
