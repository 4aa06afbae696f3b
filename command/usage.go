package command

import (
	"flag"
	"fmt"
	"io"
)

// writeUsage writes the usage text of the program, which lists its verbs.
func (p *Program) writeUsage(w io.Writer) {
	fmt.Fprintf(w, "%s: %s\n\nUsage: %s VERB [flags] [arguments]\n\nVerbs:\n", p.Name, p.Summary, p.Name)
	width := 14
	for i := range p.Verbs {
		width = max(width, len(p.Verbs[i].Name))
	}
	for _, verb := range p.Verbs {
		fmt.Fprintf(w, "  %-*s %s\n", width, verb.Name, verb.Summary)
	}
	fmt.Fprintf(w, "  %-*s %s\n", width, "reference", "Prints the reference page of all verbs.")
	fmt.Fprintf(w, "\nRun \"%s VERB --help\" for the flags of one verb.\n", p.Name)
}

// writeVerbUsage writes the usage text of a verb.
func (p *Program) writeVerbUsage(w io.Writer, verb *Verb) {
	fmt.Fprintf(w, "Usage: %s %s [flags] %s\n\n%s\n", p.Name, verb.Name, verb.Arguments, verb.Summary)
	if verb.Detail != "" {
		fmt.Fprintf(w, "\n%s\n", verb.Detail)
	}
	flags := flag.NewFlagSet(verb.Name, flag.ContinueOnError)
	flags.SetOutput(w)
	verb.New(flags)
	fmt.Fprint(w, "\nFlags:\n")
	flags.PrintDefaults()
}

// writeReference writes the usage texts of the program and of all verbs as a Markdown section with subsections.
func (p *Program) writeReference(w io.Writer) {
	fmt.Fprintf(w, "## %s\n\n```text\n", p.Name)
	p.writeUsage(w)
	fmt.Fprint(w, "```\n")
	for i := range p.Verbs {
		fmt.Fprintf(w, "\n### %s %s\n\n```text\n", p.Name, p.Verbs[i].Name)
		p.writeVerbUsage(w, &p.Verbs[i])
		fmt.Fprint(w, "```\n")
	}
	fmt.Fprintln(w)
}
