package entry

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall/command"
	"chicoryhall.example/chicoryhall/document"
)

// checkVerb checks a document without connecting to a daemon.
var checkVerb = command.Verb{
	Name:      "check",
	Arguments: "FILE",
	Summary:   "Checks a service's document and lists every mistake and warning in it.",
	Detail: "Each line is file:line:column, the field's path, and what to write instead.\n" +
		"The exit status is 1 if there is a mistake; with warnings alone it is 0. No daemon is contacted.\n" +
		"\"chicoryctl diff\" also compares with the newest version.",
	New: func(*flag.FlagSet) command.Run { return check },
}

func check(_ context.Context, streams command.Streams, arguments []string) error {
	path, err := oneArgument(arguments, "FILE")
	if err != nil {
		return err
	}
	text, err := readDocument(path)
	if err != nil {
		return err
	}
	d, problems := document.Check(path, text)
	if mistakes := problems.Errors(); len(mistakes) > 0 {
		return command.Unprefixed(problems)
	}
	for _, warning := range problems.Warnings() {
		fmt.Fprintln(streams.Out, warning.Error())
	}
	fmt.Fprintf(streams.Out, "%s: the document of service %s is good\n", path, d.Service)
	return nil
}

// oneArgument returns the only argument of a verb, called name in the usage text.
func oneArgument(arguments []string, name string) (string, error) {
	if len(arguments) != 1 {
		return "", command.UsageError("one %s is needed, %d are given", name, len(arguments))
	}
	return arguments[0], nil
}

// readDocument reads a document file. Of a file that is too large, it reads one byte more than the maximum size, so that
// document.Check refuses the text.
func readDocument(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "read document")
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, document.MaxBytes+1))
	return text, errors.Wrap(err, "read document")
}
