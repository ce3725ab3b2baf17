package csyaml

import (
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
)

// MaxSize is the largest document in bytes.
const MaxSize = 1 << 20

// parse returns the root node of the only document in a file.
func (d *decoder) parse(data []byte) ast.Node {
	if len(data) > MaxSize {
		d.report(position{line: 1, column: 1}, Limit, "", fmt.Sprintf("the file has %d bytes", len(data)),
			fmt.Sprintf("keep it under %d bytes", MaxSize))
		return nil
	}
	if !utf8.Valid(data) {
		d.report(d.invalidByte(), Syntax, "", "the file is not UTF-8", "save the file as UTF-8")
		return nil
	}
	tokens := lexer.Tokenize(string(data))
	if !d.checkTokens(tokens) {
		return nil
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.syntax(err)
		return nil
	}
	return d.root(file)
}

func (d *decoder) root(file *ast.File) ast.Node {
	var body ast.Node
	for _, doc := range file.Docs {
		if doc.Body == nil || doc.Body.Type() == ast.CommentType {
			continue
		}
		if body != nil {
			d.report(start(doc.Body), Syntax, "", "the file holds more than one document", "remove the --- line")
			return nil
		}
		body = doc.Body
	}
	if body == nil {
		d.report(position{line: 1, column: 1}, Missing, "", "the file is empty", "write at least one field")
	}
	return body
}

// invalidByte returns the position of the first byte that is not UTF-8.
func (d *decoder) invalidByte() position {
	for i, line := range d.lines {
		valid := strings.ToValidUTF8(line, "\x00")
		if valid == line {
			continue
		}
		column := utf8.RuneCountInString(valid[:strings.IndexByte(valid, 0)]) + 1
		return position{line: i + 1, column: column}
	}
	return position{line: 1, column: 1}
}

func (d *decoder) syntax(err error) {
	at := position{line: 1, column: 1}
	reason := "invalid YAML"
	var known yaml.Error
	if errors.As(err, &known) {
		reason = known.GetMessage()
		if tk := known.GetToken(); tk != nil {
			at = position{line: tk.Position.Line, column: tk.Position.Column}
		}
	}
	if len(d.hidden) > 0 {
		reason = "invalid YAML"
	}
	fix := "check indentation, quotes and brackets at this line and the one before"
	if strings.HasPrefix(d.line(at.line), "\t") {
		fix = "indent with spaces rather than tabs"
	}
	d.report(at, Syntax, "", reason, fix)
}

// start returns the position where a node begins.
func start(n ast.Node) position {
	if m, ok := n.(*ast.MappingNode); ok && !m.IsFlowStyle && len(m.Values) > 0 {
		n = m.Values[0]
	}
	if m, ok := n.(*ast.MappingValueNode); ok {
		n = m.Key
	}
	p := n.GetToken().Position
	return position{line: p.Line, column: p.Column}
}
