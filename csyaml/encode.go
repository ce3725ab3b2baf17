package csyaml

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
)

const listIndent = 2

// Encode prints a value in the order of its fields. Decode restores the same value, with times in UTC.
func Encode(value any) ([]byte, error) {
	var out bytes.Buffer
	encoder := yaml.NewEncoder(&out,
		yaml.Indent(listIndent),
		yaml.CustomMarshaler(encodeDuration),
		yaml.CustomMarshaler(encodeTime),
		yaml.CustomMarshaler(encodeFloat),
	)
	if err := encoder.Encode(value); err != nil {
		return nil, fmt.Errorf("encode YAML: %w", err)
	}
	return out.Bytes(), nil
}

func encodeDuration(d time.Duration) ([]byte, error) {
	return []byte(FormatDuration(d)), nil
}

func encodeTime(t time.Time) ([]byte, error) {
	return []byte(t.UTC().Format(time.RFC3339Nano)), nil
}

// encodeFloat avoids exponents without a point, which the decoder reads as text.
func encodeFloat(f float64) ([]byte, error) {
	return strconv.AppendFloat(nil, f, 'f', -1, 64), nil
}

// FormatDuration prints a duration without the trailing zero units of time.Duration.String: 42h rather than 42h0m0s.
func FormatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}
