package csmodel

import (
	"slices"
	"testing"
)

// Guards against decisions that depend on map order.
func TestSortedKeys(t *testing.T) {
	got := SortedKeys(NewSet[VMID]("c", "a", "b"))
	want := []VMID{"a", "b", "c"}
	if !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// Guards against amounts printed in a unit that loses bytes.
func TestBytesString(t *testing.T) {
	tests := []struct {
		in   Bytes
		want string
	}{
		{0, "0B"},
		{1023, "1023B"},
		{2 * KiB, "2KiB"},
		{MiB, "1MiB"},
		{3 * GiB, "3GiB"},
		{GiB + 1, "1073741825B"},
	}
	for _, tt := range tests {
		if got := tt.in.String(); got != tt.want {
			t.Errorf("Bytes(%d): got %q, want %q", int64(tt.in), got, tt.want)
		}
	}
}
