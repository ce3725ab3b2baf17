package csyaml_test

import (
	"strings"
	"testing"

	"cowslipstream.example/cowslipstream/csyaml"
)

type entry struct {
	Name  string  `yaml:"name"`
	Inner []entry `yaml:"inner"`
}

// longText is the length of the nested files in bytes.
const longText = 1 << 18

// Guards against files that crash the parser by recursion or hold it for minutes.
func TestLimits(t *testing.T) {
	tests := []struct {
		name, text string
	}{
		{"brackets", strings.Repeat("[", longText)},
		{"dashes", strings.Repeat("- ", longText/2)},
		{"fields", strings.Repeat("name: a\n", longText/8)},
		{"fields between lists", strings.Repeat("inner:\n- name: b\n", longText/17)},
		{"fields in braces", "{" + strings.Repeat("name: a, ", longText/10) + "}"},
		{"size", strings.Repeat("#", csyaml.MaxSize+1)},
	}
	for _, tt := range tests {
		var out entry
		_, err := csyaml.Decode("test", []byte(tt.text), &out)
		if got := csyaml.List(err); len(got) != 1 || got[0].Kind != csyaml.Limit {
			t.Errorf("%s: got %.200v, want one limit fault", tt.name, err)
		}
	}
}

// Guards against a file in another encoding that is reported at the wrong place.
func TestInvalidUTF8(t *testing.T) {
	var out entry
	_, err := csyaml.Decode("test", []byte("# caf\xc3\xa9\nname: caf\xe9\n"), &out)
	if got := csyaml.List(err); len(got) != 1 || got[0].Line != 2 || got[0].Column != 10 {
		t.Errorf("got %v, want a fault at 2:10", err)
	}
}
