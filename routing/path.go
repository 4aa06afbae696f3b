package routing

import (
	"net/url"
	"strings"
)

// PathOf returns the path of a URL as rules are matched with it: encoded characters are decoded, except for slashes and
// percent signs, which would mean something else. An encoded slash does not separate two segments.
func PathOf(u *url.URL) string {
	escaped := u.EscapedPath()
	if !strings.Contains(escaped, "%") {
		return escaped
	}
	var path strings.Builder
	for len(escaped) > 0 {
		size := 1
		if escaped[0] == '%' && len(escaped) >= 3 {
			size = 3
		}
		path.WriteString(decoded(escaped[:size]))
		escaped = escaped[size:]
	}
	return path.String()
}

// decoded returns an encoded character as PathOf returns it. Any other text is returned unchanged.
func decoded(text string) string {
	plain, err := url.PathUnescape(text)
	switch {
	case err != nil:
		return text
	case plain == "/" || plain == "%":
		return strings.ToUpper(text)
	default:
		return plain
	}
}
