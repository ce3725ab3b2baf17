package csconfig_test

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csmodel"
)

var names = rapid.StringMatching(`[a-z0-9]([a-z0-9._-]{0,20}[a-z0-9])?`)

func drawConfiguration(t *rapid.T) csconfig.Configuration {
	var c csconfig.Configuration
	for _, name := range rapid.SliceOfNDistinct(names, 1, 4, rapid.ID[string]).Draw(t, "pools") {
		size := rapid.IntRange(1, 50).Draw(t, "size")
		c.Pools = append(c.Pools, csconfig.Pool{
			Name:   csmodel.PoolID(name),
			Region: csmodel.Region(names.Draw(t, "region")),
			Size:   size,
			Budget: rapid.IntRange(1, size).Draw(t, "budget"),
			Spare:  rapid.Bool().Draw(t, "spare"),
		})
	}
	for _, name := range rapid.SliceOfNDistinct(names, 0, 4, rapid.ID[string]).Draw(t, "jobs") {
		c.Jobs = append(c.Jobs, csconfig.Job{
			Name:       csmodel.JobID(name),
			Pool:       c.Pools[0].Name,
			Class:      rapid.SampledFrom([]csconfig.Class{csconfig.Urgent, csconfig.Deferred}).Draw(t, "class"),
			Idempotent: rapid.Bool().Draw(t, "idempotent"),
			Timeout:    time.Duration(rapid.Int64Range(1, int64(time.Hour)).Draw(t, "timeout")),
			Runtime:    time.Duration(rapid.Int64Range(1, int64(24*time.Hour)).Draw(t, "runtime")),
			CPU:        csmodel.MilliCPU(rapid.Int64Range(0, 1<<40).Draw(t, "cpu")),
			Memory:     csmodel.Bytes(rapid.Int64Min(0).Draw(t, "memory")),
		})
	}
	for _, name := range rapid.SliceOfNDistinct(names, 0, 4, rapid.ID[string]).Draw(t, "teams") {
		c.Teams = append(c.Teams, csconfig.Team{
			Name:  csmodel.TeamID(name),
			Share: rapid.IntRange(1, 100).Draw(t, "share"),
			Rate:  rapid.Float64Range(0, 1e12).Draw(t, "rate"),
			Burst: rapid.IntRange(1, 100).Draw(t, "burst"),
			Tasks: rapid.IntRange(0, 100).Draw(t, "tasks"),
		})
	}
	for _, name := range rapid.SliceOfNDistinct(names, 0, 2, rapid.ID[string]).Draw(t, "waves") {
		c.Waves = append(c.Waves, csconfig.Wave{
			Name:     csmodel.WaveID(name),
			Pools:    []csmodel.PoolID{c.Pools[0].Name},
			Start:    time.Unix(rapid.Int64Range(0, 1<<33).Draw(t, "start"), rapid.Int64Range(0, 999_999_999).Draw(t, "nanos")).UTC(),
			Period:   300 * 24 * time.Hour,
			Parallel: rapid.IntRange(1, 9).Draw(t, "parallel"),
			Losses:   rapid.IntRange(0, 9).Draw(t, "losses"),
		})
	}
	return c
}

// Guards against a printed configuration that reads back as another one, for example a name that YAML takes for a
// number, or a duration, size or rate that loses digits.
func TestPrintRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := drawConfiguration(t)
		text, err := csconfig.Print(want)
		if err != nil {
			t.Fatalf("print: %v", err)
		}
		got, err := csconfig.Parse("test", text)
		if err != nil {
			t.Fatalf("parse: %v\n%s", err, text)
		}
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("got %+v, want %+v\n%s", got, want, text)
		}
		again, err := csconfig.Print(got)
		if err != nil || !bytes.Equal(again, text) {
			t.Fatalf("printed again: %v\n%s\nwant\n%s", err, again, text)
		}
	})
}

// Guards against a crash of the parser on arbitrary input, which would let a caller of apply stop a node.
func TestParseArbitrary(t *testing.T) {
	pieces := rapid.SampledFrom([]string{
		"pools", "jobs", "name", ":", ": ", "- ", "\n", "\n  ", "\n    ", "{", "}", "[", "]", ",", "\"", "'", "|", ">",
		"#", "?", "? ", "&a", "*a", "!t", "%", "---\n", "...\n", "<<", "~", "1", "a", "\t", "\r", "\x00", "é", "\\", "@", "`",
	})
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOfN(pieces, 0, 40).Draw(t, "text"), "")
		_, _ = csconfig.Parse("test", []byte(text))
	})
}
