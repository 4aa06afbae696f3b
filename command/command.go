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

// The exit statuses of all programs, besides 0 for success.
const (
	exitFailure = 1
	exitUsage   = 2
)

// Streams are the input and output streams of a verb.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// Verb is a subcommand of a program.
type Verb struct {
	// Name is the word by which the user selects the verb.
	Name string
	// Arguments names the arguments after the flags in the usage text, such as "FILE".
	Arguments string
	// Summary is one sentence on what the verb does.
	Summary string
	// Detail continues the usage text after Summary. It may be empty.
	Detail string
	// New registers the verb's flags and returns the function that runs the verb. It is also called to print the flags,
	// so it must do nothing else.
	New func(flags *flag.FlagSet) Run
}

// Run runs a verb. The arguments are those after its flags.
type Run func(ctx context.Context, streams Streams, arguments []string) error

// Program is a command line program that consists of verbs. The verbs "help", also -h, -help and --help, and "reference"
// are built in.
type Program struct {
	// Name is the name of the program's command. Summary is a phrase that starts with a lower-case letter and ends without a
	// period. The usage text starts with both.
	Name    string
	Summary string
	Verbs   []Verb
}

// errUsage is wrapped by errors that mean that the command line is wrong.
var errUsage = errors.New("usage")

// Main runs the program with the arguments of the process and exits. An interrupt or SIGTERM cancels the context of the verb.
func (p *Program) Main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := p.Execute(ctx, Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}, os.Args[1:])
	stop()
	os.Exit(status)
}

// Execute runs the command line given by arguments, without the program name, and returns the exit status.
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

// run parses the verb's flags, runs the verb, prints its error, and returns the exit status.
func (p *Program) run(ctx context.Context, streams Streams, verb *Verb, arguments []string) int {
	flags := flag.NewFlagSet(verb.Name, flag.ContinueOnError)
	flags.SetOutput(io.Discard) // errors and usage texts are printed by this package
	runVerb := verb.New(flags)
	err := flags.Parse(arguments)
	if errors.Is(err, flag.ErrHelp) {
		p.writeVerbUsage(streams.Out, verb)
		return 0
	}
	if err != nil {
		return p.writeUsageError(streams.Err, verb, err)
	}
	err = runVerb(ctx, streams, flags.Args())
	if errors.Is(err, errUsage) {
		return p.writeUsageError(streams.Err, verb, err)
	}
	if err != nil {
		p.writeError(streams.Err, verb, err)
		return exitFailure
	}
	return 0
}

func (p *Program) writeError(w io.Writer, verb *Verb, err error) {
	var unprefixed *unprefixedError
	if errors.As(err, &unprefixed) {
		fmt.Fprintln(w, unprefixed.cause)
		return
	}
	fmt.Fprintf(w, "%s %s: %v\n", p.Name, verb.Name, err)
}

// writeUsageError prints an error in the command line of a verb and returns the exit status.
func (p *Program) writeUsageError(w io.Writer, verb *Verb, err error) int {
	fmt.Fprintf(w, "%s %s: %v; run \"%s %s --help\"\n", p.Name, verb.Name, err, p.Name, verb.Name)
	return exitUsage
}

// UsageError returns an error for a wrong command line. Execute prints it together with the command for the verb's usage
// text, and returns exitUsage.
func UsageError(format string, arguments ...any) error {
	return errors.WithMessagef(errUsage, format, arguments...)
}
