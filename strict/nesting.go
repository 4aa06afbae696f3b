package strict

// maxNesting bounds the nesting depth of a text, because the time of the YAML parser
// grows with the square of the depth: it needs 35 s for 100,000 levels.
const maxNesting = 64

// findTooDeep returns the first position at which a text nests deeper than maxNesting, or false.
//
// It runs before the text is parsed and only estimates the depth. It counts open brackets, those
// in quoted texts and comments included, and the "-", "?" and ":" at the start of a line such as
// "- - - a", which nests three lists. It does not count nesting by indentation.
func findTooDeep(text []byte) (position, bool) {
	pos := position{line: 1}
	bracketDepth := 0
	indicatorDepth := 0
	onlyIndicators := true // Set while the line has had nothing but indicators and blanks.
	for _, c := range text {
		pos.column++
		switch c {
		case '\n':
			pos = position{line: pos.line + 1}
			indicatorDepth = 0
			onlyIndicators = true
		case '[', '{':
			bracketDepth++
			onlyIndicators = false
		case ']', '}':
			bracketDepth = max(0, bracketDepth-1)
		case '-', '?', ':':
			if onlyIndicators {
				indicatorDepth++
			}
		case ' ', '\t', '\r':
		default:
			onlyIndicators = false
		}
		if bracketDepth > maxNesting || indicatorDepth > maxNesting {
			return pos, true
		}
	}
	return position{}, false
}
