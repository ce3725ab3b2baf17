// Package csyaml decodes YAML strictly and reports every fault with file, line, column, excerpt and fix. Configuration
// and settings share it.
package csyaml

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"unicode/utf8"
)

// Kind classifies faults.
type Kind string

// Kinds of faults.
const (
	Syntax    Kind = "syntax"
	Limit     Kind = "limit"
	Unknown   Kind = "unknown"
	Duplicate Kind = "duplicate"
	Type      Kind = "type"
	Unit      Kind = "unit"
	Missing   Kind = "missing"
	Range     Kind = "range"
	Reference Kind = "reference"
	Conflict  Kind = "conflict"
)

// Fault is one fault of a document. File, Line, Column and Excerpt are empty where the value did not come from a file.
type Fault struct {
	File string
	// Line and Column count from 1. Column counts characters.
	Line   int
	Column int
	// Excerpt is the line of the fault.
	Excerpt string
	Kind    Kind
	// Path names the value, for example pools[2].budget.
	Path   string
	Reason string
	Fix    string
}

// String returns position, path, reason and fix in one line.
func (f Fault) String() string {
	text := f.headline()
	if f.Fix != "" {
		text += "; fix: " + f.Fix
	}
	return text
}

func (f Fault) headline() string {
	var b strings.Builder
	if f.File != "" {
		fmt.Fprintf(&b, "%s:", f.File)
	}
	if f.Line > 0 {
		fmt.Fprintf(&b, "%d:%d:", f.Line, f.Column)
	}
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	if f.Path != "" {
		fmt.Fprintf(&b, "%s: ", f.Path)
	}
	b.WriteString(f.Reason)
	return b.String()
}

// Print writes the fault with its excerpt and fix over several lines.
func (f Fault) Print(w io.Writer) {
	fmt.Fprintln(w, f.headline())
	if f.Excerpt != "" {
		margin := fmt.Sprintf("%6d | ", f.Line)
		fmt.Fprintf(w, "%s%s\n", margin, f.Excerpt)
		if f.Column <= utf8.RuneCountInString(f.Excerpt) {
			fmt.Fprintf(w, "%s%s^\n", strings.Repeat(" ", len(margin)-2)+"| ", indent(f.Excerpt, f.Column-1))
		}
	}
	if f.Fix != "" {
		fmt.Fprintf(w, "  fix: %s\n", f.Fix)
	}
}

// indent returns white space as wide as the first characters of a line, so that tabs keep their width.
func indent(line string, width int) string {
	var b strings.Builder
	for _, r := range line {
		if width <= 0 {
			break
		}
		width--
		if r == '\t' {
			b.WriteRune(r)
			continue
		}
		b.WriteByte(' ')
	}
	return b.String()
}

// Faults is everything that is wrong with a document.
type Faults []Fault

// InvalidError says that a document has faults.
type InvalidError struct {
	Faults Faults
}

// Error returns one line for each fault.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Add appends a fault, unless the list is full.
func (fs *Faults) Add(kind Kind, path, reason, fix string) {
	fs.add(Fault{Kind: kind, Path: path, Reason: reason, Fix: fix})
}

// maxFaults bounds the report, since a wrong file can have a fault on each line.
const maxFaults = 200

func (fs *Faults) add(f Fault) {
	if len(*fs) < maxFaults {
		*fs = append(*fs, f)
	}
}

// Err returns an *InvalidError, or nil where there are no faults.
func (fs Faults) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return &InvalidError{Faults: fs}
}

// Print writes every fault with its excerpt and fix.
func (fs Faults) Print(w io.Writer) {
	for _, f := range fs {
		f.Print(w)
	}
}

// List returns the faults that an error holds, or nil where it holds none.
func List(err error) Faults {
	var invalid *InvalidError
	if errors.As(err, &invalid) {
		return invalid.Faults
	}
	return nil
}

func sortFaults(fs Faults) {
	slices.SortStableFunc(fs, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}
