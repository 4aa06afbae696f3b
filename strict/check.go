package strict

import (
	"net/netip"
	"strings"
	"time"
)

// CheckAddress checks that the text at path is IP:PORT with a port from 1 to 65535.
func (f *File) CheckAddress(path, text string) {
	if !f.IsValid(path) {
		return
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		f.AddError(path, "%q is no address; write IP:PORT with numbers, such as 127.0.0.1:8080", text)
		return
	}
	if address.Port() == 0 {
		f.AddError(path, "%q has the port 0; write a port from 1 to 65535", text)
	}
}

// CheckName checks that the text at path is a name: 1 to 100 ASCII letters, digits, "-", "_" and ".".
func (f *File) CheckName(path, text string) {
	const maxNameBytes = 100
	if !f.IsValid(path) {
		return
	}
	if text == "" {
		f.AddError(path, "the text is empty; write a name")
		return
	}
	if len(text) > maxNameBytes || strings.ContainsFunc(text, isInvalidNameRune) {
		f.AddError(path, "%q is no name; write at most %d letters, digits, \"-\", \"_\" and \".\"", text, maxNameBytes)
	}
}

func isInvalidNameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return false
	case r == '-', r == '_', r == '.':
		return false
	}
	return true
}

// CheckRange checks that the number at path is from low to high.
func (f *File) CheckRange(path string, n, low, high int64) {
	if f.IsValid(path) && (n < low || n > high) {
		f.AddError(path, "%d is out of range; write a number from %d to %d", n, low, high)
	}
}

// CheckDuration checks that the duration at path is from low to high.
func (f *File) CheckDuration(path string, d, low, high time.Duration) {
	if f.IsValid(path) && (d < low || d > high) {
		f.AddError(path, "%s is out of range; write a time from %s to %s", d, low, high)
	}
}

// IsValid reports whether the field at path is given and no error was reported with exactly this path so far. It does
// not look at the field's value, and errors in fields inside it do not count. The Check methods use it to report at most
// one error for a field.
func (f *File) IsValid(path string) bool {
	if _, given := f.positions[path]; !given {
		return false
	}
	for i := range f.problems {
		if f.problems[i].Path == path && !f.problems[i].Warning {
			return false
		}
	}
	return true
}
