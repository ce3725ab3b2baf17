package csyaml

import (
	"regexp"
	"slices"
	"strings"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Document is a decoded file. It gives faults found after decoding their position in the file.
type Document struct {
	file      string
	lines     []string
	hidden    []string
	known     csmodel.Set[string]
	positions map[string]position
}

type position struct {
	line, column int
}

func newDocument(file string, data []byte, known csmodel.Set[string], hidden []string) *Document {
	return &Document{
		file:      file,
		lines:     strings.Split(string(data), "\n"),
		hidden:    hidden,
		known:     known,
		positions: map[string]position{},
	}
}

// Place returns the error with the position of each fault in the document. Other errors are returned unchanged.
func (d *Document) Place(err error) error {
	fs := List(err)
	if fs == nil {
		return err
	}
	placed := make(Faults, len(fs))
	for i, f := range fs {
		placed[i] = d.at(d.find(f.Path), f)
	}
	sortFaults(placed)
	return placed.Err()
}

// find returns the position of a path, or of the nearest enclosing value where the path is absent.
func (d *Document) find(path string) position {
	for {
		if p, ok := d.positions[path]; ok {
			return p
		}
		end := strings.LastIndexAny(path, ".[")
		if end < 0 {
			return position{line: 1, column: 1}
		}
		path = path[:end]
	}
}

func (d *Document) at(p position, f Fault) Fault {
	f.File = d.file
	f.Line = p.line
	f.Column = p.column
	f.Excerpt = d.excerpt(p.line)
	return f
}

// excerptLength bounds an excerpt in bytes, for files with very long lines.
const excerptLength = 160

// line returns the text of a line without white space at its end.
func (d *Document) line(number int) string {
	if number < 1 || number > len(d.lines) {
		return ""
	}
	return strings.TrimRight(d.lines[number-1], "\r \t")
}

func (d *Document) excerpt(number int) string {
	text := d.line(number)
	if len(d.hidden) > 0 {
		text = d.hide(text)
	}
	if len(text) > excerptLength {
		text = strings.ToValidUTF8(text[:excerptLength], "") + " ..."
	}
	return text
}

const hiddenValue = "[hidden]"

// keyPattern matches the key of an entry in block or flow style.
var keyPattern = regexp.MustCompile(`([^\s{}\[\],:"']+)["']?\s*:(?:\s|$)`)

// hide removes everything after the first key that is hidden or unknown. A misspelt key must not reveal a secret, and
// neither must a secret that continues on a line of its own.
func (d *Document) hide(line string) string {
	if strings.TrimSpace(line) == "" || strings.HasPrefix(strings.TrimSpace(line), "#") {
		return line
	}
	keys := keyPattern.FindAllStringSubmatchIndex(line, -1)
	if len(keys) == 0 {
		return hiddenValue
	}
	for _, at := range keys {
		name := line[at[2]:at[3]]
		if !d.known.Has(name) || slices.Contains(d.hidden, name) {
			return line[:at[3]] + ": " + hiddenValue
		}
	}
	return line
}

// isHidden tells whether a path leads to or through a hidden field.
func (d *Document) isHidden(path string) bool {
	for segment := range strings.SplitSeq(path, ".") {
		name, _, _ := strings.Cut(segment, "[")
		if slices.Contains(d.hidden, name) {
			return true
		}
	}
	return false
}
