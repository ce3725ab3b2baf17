package csyaml

import (
	"strings"
)

// Document is a decoded file. It gives faults found after decoding their position in the file.
type Document struct {
	file      string
	lines     []string
	hidden    []string
	positions map[string]position
}

type position struct {
	line, column int
}

func newDocument(file string, data []byte, hidden []string) *Document {
	return &Document{
		file:      file,
		lines:     strings.Split(string(data), "\n"),
		hidden:    hidden,
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
	return placed
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

func (d *Document) excerpt(line int) string {
	if line < 1 || line > len(d.lines) {
		return ""
	}
	text := strings.TrimRight(d.lines[line-1], "\r \t")
	if len(d.hidden) > 0 {
		text = hide(text, d.hidden)
	}
	if len(text) > excerptLength {
		text = strings.ToValidUTF8(text[:excerptLength], "") + " ..."
	}
	return text
}

const hiddenValue = "[hidden]"

// hide removes the value from a line unless the line has the form "key: value" with a key that is neither hidden nor
// close to a hidden one. A misspelt key must not reveal a secret.
func hide(line string, hidden []string) string {
	key, value, found := strings.Cut(line, ":")
	name := strings.Trim(key, " \t-'\"")
	switch {
	case strings.TrimSpace(line) == "" || isComment(line):
		return line
	case !found:
		return hiddenValue
	case strings.TrimSpace(value) == "":
		return line
	case !isWord(name) || isSensitive(name, hidden):
		return key + ": " + hiddenValue
	default:
		return line
	}
}

func isComment(line string) bool { return strings.HasPrefix(strings.TrimSpace(line), "#") }

func isWord(name string) bool {
	for _, r := range name {
		if r < 'a' || r > 'z' {
			return false
		}
	}
	return name != ""
}

func isSensitive(name string, hidden []string) bool {
	for _, h := range hidden {
		if strings.HasPrefix(h, name) || strings.HasPrefix(name, h) || distance(name, h) <= maxDistance {
			return true
		}
	}
	return false
}
