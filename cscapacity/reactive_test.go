package cscapacity

import (
	"slices"
	"testing"
	"time"
)

// Guards against borrowing from a busy pool while a spare pool has VMs, and against returning VMs during a short dip.
func TestReactive(t *testing.T) {
	start := time.Unix(0, 0)
	spare := Load{Pool: "s", Spare: true, Slots: 32, VMs: 4, Lendable: 2}
	other := Load{Pool: "b", Slots: 32, VMs: 4, Lendable: 1, Busy: 2}
	tests := []struct {
		name  string
		loads []Load
		after time.Duration
		want  []Move
	}{
		{"overloaded", []Load{{Pool: "a", Slots: 16, VMs: 2, Busy: 16, Queued: 20}, other, spare}, 0,
			[]Move{{"s", "a", 2}, {"b", "a", 1}}},
		{"idle", []Load{{Pool: "a", Slots: 16, VMs: 2, Busy: 8}, other, spare}, 0, nil},
		{"short dip", []Load{{Pool: "a", Slots: 32, VMs: 4, Busy: 1, Borrowed: []Borrowed{{"s", 2}}}}, time.Second, nil},
		{"long dip", []Load{{Pool: "a", Slots: 32, VMs: 4, Busy: 1, Borrowed: []Borrowed{{"s", 2}}}}, defaultHold,
			[]Move{{"a", "s", 2}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var r Reactive
			r.Step(start, tt.loads)
			if got := r.Step(start.Add(tt.after), tt.loads).Moves; !slices.Equal(got, tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}
