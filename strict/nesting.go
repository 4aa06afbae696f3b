package strict

// maxNesting bounds the nesting depth of a text, because the time of the YAML parser
// grows with the square of the depth (100,000 levels took 35 s).
const maxNesting = 64

// findTooDeep returns the first position at which flow brackets, or the indicators of compact
// block collections on one line such as "- - -", nest deeper than maxNesting. The bool is
// false if there is no such position.
func findTooDeep(text []byte) (position, bool) {
	pos := position{line: 1}
	bracketDepth := 0
	indicatorDepth := 0
	onlyIndicators := true
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
