package csconfig

import (
	"reflect"
	"testing"
)

// Guards against a panic in the parser and against a configuration that is accepted but changes when it is printed and
// read again.
func FuzzParse(f *testing.F) {
	f.Add([]byte("pools:\n  - name: web\n    region: r\n    size: 2\n    budget: 1\n"))
	f.Add([]byte("jobs:\n  - name: a\n    pool: web\n    class: urgent\n    timeout: 2s\n    memory: 16GiB\n"))
	f.Add([]byte("waves: [{name: w, pools: [web], start: 2026-01-01T00:00:00Z, parallel: 1, losses: 0}]"))
	f.Add([]byte("pools: &a [*a]\n"))
	f.Add([]byte{0xff, 0xfe, '\n', ':'})
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := Parse("fuzz", data)
		if err != nil {
			return
		}
		text, err := Print(c)
		if err != nil {
			t.Fatalf("accepted configuration is not printed: %v", err)
		}
		again, err := Parse("again", text)
		if err != nil {
			t.Fatalf("printed configuration is refused: %v\n%s", err, text)
		}
		if !reflect.DeepEqual(c.Canonical(), again.Canonical()) {
			t.Errorf("got %+v after printing, want %+v", again, c)
		}
	})
}
