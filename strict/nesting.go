package strict

// maxNesting bounds the levels of a text; the YAML parser's time grows with the
// square of the depth (100,000 levels took 35 s).
const maxNesting = 64

// tooDeep finds the place where flow brackets, or the indicators of compact
// block collections on one line, nest deeper than maxNesting.
func tooDeep(text []byte) (place, bool) {
	at := place{line: 1}
	brackets := 0
	indicators := 0
	leading := true
	for _, c := range text {
		at.column++
		switch c {
		case '\n':
			at = place{line: at.line + 1}
			indicators = 0
			leading = true
		case '[', '{':
			brackets++
			leading = false
		case ']', '}':
			brackets = max(0, brackets-1)
		case '-', '?', ':':
			if leading {
				indicators++
			}
		case ' ', '\t', '\r':
		default:
			leading = false
		}
		if brackets > maxNesting || indicators > maxNesting {
			return at, true
		}
	}
	return place{}, false
}
