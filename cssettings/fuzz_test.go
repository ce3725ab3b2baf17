package cssettings

import "testing"

// Guards against a panic in the parser and against settings that are accepted without the node's own entry.
func FuzzParse(f *testing.F) {
	f.Add([]byte("node: n1\nregion: r\nzone: z\nsecret: 0123456789012345678901234567890123456789\n"))
	f.Add([]byte("nodes:\n  - name: n1\n    listen: 127.0.0.1:1\n    link: 127.0.0.1:2\n    voter: yes\n"))
	f.Add([]byte("memory: -1GiB\nlog: [info]\ntokens: {a: b}\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("fuzz", data)
		if err != nil {
			return
		}
		if _, ok := s.Own(); !ok {
			t.Error("accepted settings have no entry of the node itself")
		}
	})
}
