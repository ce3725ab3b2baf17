package csmodel

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// UnitError says why a text is not an amount and how to write it.
type UnitError struct {
	Text string
	Want string
	// Advice is how to write the amount.
	Advice string
}

// Error returns the reason.
func (e *UnitError) Error() string { return fmt.Sprintf("%q is not %s", e.Text, e.Want) }

// Fix returns how to write the amount.
func (e *UnitError) Fix() string { return e.Advice }

// ParseBytes reads an amount such as 512MiB. A bare number is refused, because its unit would be a guess.
func ParseBytes(text string) (Bytes, error) {
	number, unit := SplitUnit(text)
	factor, ok := byteUnits[unit]
	if !ok {
		return 0, &UnitError{Text: text, Want: "an amount of bytes", Advice: bytesAdvice(number, unit)}
	}
	value, err := strconv.ParseInt(number, 10, 64)
	if err != nil {
		return 0, &UnitError{Text: text, Want: "an amount of bytes", Advice: "write a whole number with a unit, for example 1536MiB"}
	}
	if value > math.MaxInt64/int64(factor) {
		return 0, &UnitError{Text: text, Want: "an amount of bytes", Advice: "write a smaller amount"}
	}
	return Bytes(value) * factor, nil
}

var byteUnits = map[string]Bytes{"B": 1, "KiB": KiB, "MiB": MiB, "GiB": GiB}

func bytesAdvice(number, unit string) string {
	if number == "" {
		return "write a number with a unit, for example 16GiB"
	}
	switch strings.ToLower(unit) {
	case "k", "kb", "kib":
		return "write " + number + "KiB"
	case "m", "mb", "mib":
		return "write " + number + "MiB"
	case "g", "gb", "gib":
		return "write " + number + "GiB"
	case "":
		return "add a unit: " + number + "B, " + number + "MiB or " + number + "GiB"
	default:
		return "use one of the units B, KiB, MiB, GiB"
	}
}

// SplitUnit splits a text into its leading decimal number and the rest.
func SplitUnit(text string) (number, unit string) {
	end := strings.IndexFunc(text, func(r rune) bool { return (r < '0' || r > '9') && r != '.' })
	if end < 0 {
		return text, ""
	}
	return text[:end], strings.TrimSpace(text[end:])
}

// MarshalYAML returns the amount with its unit.
func (b Bytes) MarshalYAML() ([]byte, error) { return []byte(b.String()), nil }

// UnmarshalYAML reads an amount with its unit.
func (b *Bytes) UnmarshalYAML(unmarshal func(any) error) error {
	return unmarshalText(unmarshal, b, ParseBytes)
}

const (
	coreDigits = 3
	maxCores   = math.MaxInt64 / 1000
)

// ParseMilliCPU reads a number of cores with up to three decimals, such as 2.5.
func ParseMilliCPU(text string) (MilliCPU, error) {
	refused := &UnitError{Text: text, Want: "a number of cores", Advice: "write cores with up to three decimals, for example 2.5"}
	if number, found := strings.CutSuffix(text, "m"); found {
		if milli, err := strconv.ParseUint(number, 10, 32); err == nil {
			refused.Advice = "write cores: " + MilliCPU(milli).String()
		}
		return 0, refused
	}
	whole, fraction, _ := strings.Cut(text, ".")
	if len(fraction) > coreDigits {
		return 0, refused
	}
	cores, err := strconv.ParseUint(whole, 10, 63)
	if err != nil || cores >= maxCores {
		return 0, refused
	}
	padded := fraction + strings.Repeat("0", coreDigits-len(fraction))
	milli, err := strconv.ParseUint(padded, 10, 16)
	if err != nil {
		return 0, refused
	}
	return MilliCPU(cores)*1000 + MilliCPU(milli), nil
}

// MarshalYAML returns the number of cores.
func (m MilliCPU) MarshalYAML() ([]byte, error) { return []byte(m.decimal()), nil }

// decimal writes all digits, where String may round.
func (m MilliCPU) decimal() string {
	if m < 0 {
		return strconv.FormatInt(int64(m), 10)
	}
	fraction := strings.TrimRight(fmt.Sprintf("%03d", m%1000), "0")
	if fraction == "" {
		return strconv.FormatInt(int64(m/1000), 10)
	}
	return strconv.FormatInt(int64(m/1000), 10) + "." + fraction
}

// UnmarshalYAML reads a number of cores.
func (m *MilliCPU) UnmarshalYAML(unmarshal func(any) error) error {
	return unmarshalText(unmarshal, m, ParseMilliCPU)
}

func unmarshalText[T any](unmarshal func(any) error, out *T, parse func(string) (T, error)) error {
	var text string
	if err := unmarshal(&text); err != nil {
		return err
	}
	value, err := parse(text)
	if err != nil {
		return err
	}
	*out = value
	return nil
}
