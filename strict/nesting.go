package strict

// maxNesting bounds the nesting depth of a text, because the time of the YAML parser
// grows with the square of the depth (100,000 levels took 35 s).
const maxNesting = 64

// findTooDeep returns the position at which flow brackets, or the indicators of compact
// block collections on one line, are nested deeper than maxNesting, if there is one.
func findTooDeep(text []byte) (position, bool) {
	pos := position{line: 1}
	brackets := 0
	indicators := 0
	lineStart := true
	for _, c := range text {
		pos.column++
		switch c {
		case '\n':
			pos = position{line: pos.line + 1}
			indicators = 0
			lineStart = true
		case '[', '{':
			brackets++
			lineStart = false
		case ']', '}':
			brackets = max(0, brackets-1)
		case '-', '?', ':':
			if lineStart {
				indicators++
			}
		case ' ', '\t', '\r':
		default:
			lineStart = false
		}
		if brackets > maxNesting || indicators > maxNesting {
			return pos, true
		}
	}
	return position{}, false
}
