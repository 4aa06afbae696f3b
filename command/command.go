package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
)

// The exit statuses of all programs.
const (
	exitFailure = 1
	exitUsage   = 2
)

// Streams are the standard streams of a verb.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// Verb is one action of a program.
type Verb struct {
	// Name is what the user types.
	Name string
	// Arguments shows the arguments behind the flags, such as "FILE".
	Arguments string
	// Summary is one sentence on what the verb does.
	Summary string
	// Detail is the rest of the usage text, or empty.
	Detail string
	// New registers the verb's flags and returns its behaviour.
	New func(flags *flag.FlagSet) Run
}

// Run carries a verb out with the arguments behind its flags.
type Run func(ctx context.Context, streams Streams, arguments []string) error

// Program is a named table of verbs.
type Program struct {
	Name    string
	Summary string
	Verbs   []Verb
}

// errUsage marks an error that the usage text explains.
var errUsage = errors.New("usage")

// Main runs the program with the process's arguments and exits.
func (p *Program) Main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := p.Execute(ctx, Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}, os.Args[1:])
	stop()
	os.Exit(status)
}

// Execute runs one command line and returns the exit status.
func (p *Program) Execute(ctx context.Context, streams Streams, arguments []string) int {
	if len(arguments) == 0 {
		p.writeUsage(streams.Err)
		return exitUsage
	}
	switch arguments[0] {
	case "help", "-h", "-help", "--help":
		p.writeUsage(streams.Out)
		return 0
	case "reference":
		p.writeReference(streams.Out)
		return 0
	}
	verb := p.find(arguments[0])
	if verb == nil {
		fmt.Fprintf(streams.Err, "%s: there is no verb %q; run \"%s help\" for the list\n", p.Name, arguments[0], p.Name)
		return exitUsage
	}
	return p.run(ctx, streams, verb, arguments[1:])
}

func (p *Program) find(name string) *Verb {
	for i := range p.Verbs {
		if p.Verbs[i].Name == name {
			return &p.Verbs[i]
		}
	}
	return nil
}

func (p *Program) run(ctx context.Context, streams Streams, verb *Verb, arguments []string) int {
	flags := flag.NewFlagSet(verb.Name, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	run := verb.New(flags)
	err := flags.Parse(arguments)
	if errors.Is(err, flag.ErrHelp) {
		p.writeVerb(streams.Out, verb)
		return 0
	}
	if err != nil {
		return p.usageError(streams.Err, verb, err)
	}
	err = run(ctx, streams, flags.Args())
	if errors.Is(err, errUsage) {
		return p.usageError(streams.Err, verb, err)
	}
	if err != nil {
		p.writeError(streams.Err, verb, err)
		return exitFailure
	}
	return 0
}

func (p *Program) writeError(w io.Writer, verb *Verb, err error) {
	var listed *listedError
	if errors.As(err, &listed) {
		fmt.Fprintln(w, listed.cause)
		return
	}
	fmt.Fprintf(w, "%s %s: %v\n", p.Name, verb.Name, err)
}

func (p *Program) usageError(w io.Writer, verb *Verb, err error) int {
	fmt.Fprintf(w, "%s %s: %v; run \"%s %s --help\"\n", p.Name, verb.Name, err, p.Name, verb.Name)
	return exitUsage
}

// UsageError returns an error that sends the user to the verb's usage text.
func UsageError(format string, arguments ...any) error {
	return errors.WithMessagef(errUsage, format, arguments...)
}
