package csyaml

import (
	"fmt"
	"math"

	"github.com/goccy/go-yaml/token"
)

const (
	// MaxDepth is the deepest nesting. Configurations and settings need 4 levels.
	MaxDepth = 16
	// maxColumn is the last column where a list entry outside of brackets may start.
	maxColumn = 64
	// maxKeys bounds the fields of one value. The parser takes quadratic time in this number: 200,000 fields in a file
	// of 1 MB took 83 s.
	maxKeys = 64
)

// checkTokens refuses features that the files do not need, and nesting that would make the parser recurse deeply.
func (d *decoder) checkTokens(tokens token.Tokens) bool {
	var levels levels
	for _, tk := range tokens {
		reason, fix := unsupported(tk)
		if reason != "" {
			d.report(tokenStart(tk), Syntax, "", reason, fix)
			return false
		}
		levels.add(tk)
		if levels.depth > MaxDepth {
			d.report(tokenStart(tk), Limit, "", "the values are nested too deeply",
				fmt.Sprintf("use at most %d levels", MaxDepth))
			return false
		}
		if levels.keys() > maxKeys {
			d.report(tokenStart(tk), Limit, "", "too many fields in one value",
				fmt.Sprintf("use at most %d fields", maxKeys))
			return false
		}
	}
	return true
}

func tokenStart(tk *token.Token) position {
	return position{line: tk.Position.Line, column: tk.Position.Column}
}

func unsupported(tk *token.Token) (reason, fix string) {
	switch tk.Type {
	case token.AnchorType, token.AliasType, token.MergeKeyType:
		return "anchors, aliases and merge keys are not supported", "write the value out"
	case token.TagType, token.DirectiveType:
		return "tags and directives are not supported", "remove " + tk.Value
	case token.MappingKeyType:
		return "keys that start with ? are not supported", "write key: value"
	default:
		return "", ""
	}
}

// levels follows the nesting of a document token by token.
type levels struct {
	// depth counts open brackets. A list entry far to the right counts as too deep.
	depth int
	open  []level
}

// level is one mapping: its column, or flowBase plus the depth of its brackets, and its number of keys.
type level struct {
	place, keys int
}

const flowBase = math.MaxInt32

func (l *levels) add(tk *token.Token) {
	switch tk.Type {
	case token.SequenceStartType, token.MappingStartType:
		l.depth++
		l.open = append(l.open, level{place: flowBase + l.depth})
	case token.SequenceEndType, token.MappingEndType:
		l.closeAbove(flowBase + l.depth - 1)
		l.depth--
	case token.SequenceEntryType:
		if l.depth > 0 {
			return
		}
		l.closeAbove(tk.Position.Column)
		if tk.Position.Column > maxColumn {
			l.depth = MaxDepth + 1
		}
	case token.MappingValueType:
		l.addKey(tk)
	default: // other tokens do not nest
	}
}

func (l *levels) addKey(colon *token.Token) {
	place := flowBase + l.depth
	if l.depth <= 0 {
		key := colon
		if colon.Prev != nil {
			key = colon.Prev
		}
		place = key.Position.Column
	}
	l.closeAbove(place)
	if l.keys() == 0 || l.open[len(l.open)-1].place != place {
		l.open = append(l.open, level{place: place})
	}
	l.open[len(l.open)-1].keys++
}

func (l *levels) closeAbove(place int) {
	for len(l.open) > 0 && l.open[len(l.open)-1].place > place {
		l.open = l.open[:len(l.open)-1]
	}
}

// keys returns the number of keys of the innermost mapping.
func (l *levels) keys() int {
	if len(l.open) == 0 {
		return 0
	}
	return l.open[len(l.open)-1].keys
}
