package csyaml

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"

	"cowslipstream.example/cowslipstream/csmodel"
)

func isScalar(n ast.Node) bool {
	switch n.Type() {
	case ast.StringType, ast.LiteralType, ast.IntegerType, ast.FloatType, ast.BoolType, ast.InfinityType, ast.NanType:
		return true
	default:
		return false
	}
}

// scalarText returns the text of a scalar without quotes.
func scalarText(n ast.Node) string {
	switch s := n.(type) {
	case *ast.StringNode:
		return s.Value
	case *ast.LiteralNode:
		return s.Value.Value
	default:
		return n.GetToken().Value
	}
}

func (d *decoder) scalar(n ast.Node, v reflect.Value, path string) {
	switch v.Kind() {
	case reflect.String:
		d.text(n, v, path)
	case reflect.Bool:
		d.boolean(n, v, path)
	case reflect.Int, reflect.Int64:
		d.integer(n, v, path)
	case reflect.Float64:
		d.float(n, v, path)
	default:
		panic("csyaml: field " + path + " has the unsupported type " + v.Type().String())
	}
}

func (d *decoder) text(n ast.Node, v reflect.Value, path string) {
	if n.Type() != ast.StringType && n.Type() != ast.LiteralType {
		fix := "write a text"
		if isScalar(n) {
			fix = "put the value in quotes"
		}
		d.wrongType(n, path, "a text", fix)
		return
	}
	v.SetString(scalarText(n))
}

func (d *decoder) boolean(n ast.Node, v reflect.Value, path string) {
	b, ok := n.(*ast.BoolNode)
	if !ok {
		d.wrongType(n, path, "true or false", "write true or false")
		return
	}
	v.SetBool(b.Value)
}

func (d *decoder) integer(n ast.Node, v reflect.Value, path string) {
	if n.Type() != ast.IntegerType {
		d.wrongType(n, path, "a whole number", "write decimal digits without quotes or unit")
		return
	}
	number, err := strconv.ParseInt(scalarText(n), 10, 64)
	if err != nil {
		d.report(start(n), Type, path, d.quote(n, path)+" is not a decimal number in range",
			"write decimal digits, at most 9223372036854775807")
		return
	}
	v.SetInt(number)
}

func (d *decoder) float(n ast.Node, v reflect.Value, path string) {
	if n.Type() != ast.IntegerType && n.Type() != ast.FloatType {
		d.wrongType(n, path, "a number", "write a decimal number without quotes or unit")
		return
	}
	number, err := strconv.ParseFloat(scalarText(n), 64)
	if err != nil {
		d.report(start(n), Type, path, d.quote(n, path)+" is not a decimal number in range",
			"write a decimal number")
		return
	}
	v.SetFloat(number)
}

const hoursPerDay = 24

func (d *decoder) duration(n ast.Node, out *time.Duration, path string) {
	if !isScalar(n) {
		d.wrongType(n, path, "a duration", "write a number with a unit, for example 30s")
		return
	}
	text := scalarText(n)
	value, err := time.ParseDuration(text)
	if err == nil {
		*out = value
		return
	}
	d.report(start(n), Unit, path, d.quote(n, path)+" is not a duration", durationFix(text))
}

func durationFix(text string) string {
	number, unit := csmodel.SplitUnit(text)
	if number == "" {
		return "write a number with one of the units ms, s, m, h, for example 30s"
	}
	switch strings.ToLower(unit) {
	case "":
		return "add a unit: " + number + "s for seconds"
	case "d", "day", "days":
		return daysFix(number, 1)
	case "w", "week", "weeks":
		return daysFix(number, 7)
	case "sec", "secs", "second", "seconds":
		return "write " + number + "s"
	case "min", "mins", "minute", "minutes":
		return "write " + number + "m"
	case "hr", "hrs", "hour", "hours":
		return "write " + number + "h"
	default:
		return "use one of the units ms, s, m, h, for example " + number + "s"
	}
}

func daysFix(number string, days int) string {
	n, err := strconv.Atoi(number)
	if err != nil {
		return "use hours"
	}
	return fmt.Sprintf("write hours: %dh", n*days*hoursPerDay)
}

func (d *decoder) time(n ast.Node, out *time.Time, path string) {
	value, err := time.Parse(time.RFC3339, scalarText(n))
	if err != nil || !isScalar(n) {
		d.report(start(n), Type, path, d.quote(n, path)+" is not a time",
			"write RFC 3339, for example 2026-03-01T04:00:00Z")
		return
	}
	*out = value.UTC()
}

func (d *decoder) wrongType(n ast.Node, path, want, fix string) {
	d.report(start(n), Type, path, "expected "+want+", found "+d.quote(n, path), fix)
}

// quote describes a node in a fault. Values that may hold a secret are left out.
func (d *decoder) quote(n ast.Node, path string) string {
	switch n.Type() {
	case ast.NullType:
		return "nothing"
	case ast.MappingType, ast.MappingValueType:
		return "fields"
	case ast.SequenceType:
		return "a list"
	default:
		if d.isHidden(path) {
			return "a value"
		}
		return shorten(strconv.Quote(scalarText(n)))
	}
}

// quoteLength bounds a quoted value in bytes.
const quoteLength = 60

func shorten(text string) string {
	if len(text) <= quoteLength {
		return text
	}
	return strings.ToValidUTF8(text[:quoteLength], "") + "...\""
}
