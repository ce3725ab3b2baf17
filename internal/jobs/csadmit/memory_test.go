package csadmit

import (
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// fill submits jobs of a size for each owner in turn until all of them are refused, and returns what each of them has got.
func fill(limit, size csmodel.Bytes, owners int) (owned []csmodel.Bytes, used csmodel.Bytes) {
	owned = make([]csmodel.Bytes, owners)
	for refused := 0; refused < owners; {
		refused = 0
		for i := range owned {
			if (Memory{Limit: limit, Used: used, Owned: owned[i]}).Decide("a", size).Reason != None {
				refused++
				continue
			}
			owned[i] += size
			used += size
		}
	}
	return owned, used
}

// Pattern: some owners submit jobs without end, and these never end. Guards against an owner that is refused because of the jobs of
// others, against large jobs that leave no memory for small ones, and against memory that is exceeded.
func TestMemoryIsSharedByOwners(t *testing.T) {
	const limit = 64 * csmodel.MiB
	cases := []struct {
		name   string
		owners int
		size   csmodel.Bytes
		want   csmodel.Bytes // that each owner has at least
	}{
		{"one owner, small jobs", 1, 2 * csmodel.KiB, limit * 79 / 100},
		{"one owner, large jobs", 1, 32 * csmodel.KiB, limit * 74 / 100},
		{"two owners", 2, 2 * csmodel.KiB, limit * 43 / 100},
		{"twenty owners", 20, 2 * csmodel.KiB, limit * 48 / 1000},
		{"two hundred owners", 200, 2 * csmodel.KiB, limit * 48 / 10_000},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			owned, used := fill(limit, c.size, c.owners)
			if used > limit {
				t.Errorf("got %d bytes in use, want at most %d", used, limit)
			}
			for i, got := range owned {
				if got < c.want {
					t.Errorf("owner %d: got %d bytes, want at least %d", i, got, c.want)
				}
			}
			another := Memory{Limit: limit, Used: used}
			if got := another.Decide("a", 2*csmodel.KiB).Reason; got != None {
				t.Errorf("another owner: got %s, want none", got)
			}
			if got := (Memory{}).Decide("a", limit).Reason; got != None {
				t.Errorf("without a limit: got %s, want none", got)
			}
		})
	}
}

// Guards against client accounts that return long before there is memory again, or all at once.
func TestRetryMeetsFreeMemory(t *testing.T) {
	const limit, need = 64 * csmodel.MiB, 2 * csmodel.KiB
	full := Memory{Limit: limit, Used: limit, Owned: limit}
	cases := []struct {
		name        string
		memory      Memory
		least, most time.Duration
	}{
		{"nothing is released", full, maxMemoryRetry * 3 / 4, maxMemoryRetry * 5 / 4},
		{"a fifth is released in 10 s", Memory{limit, limit, limit, float64(limit) / 50}, 7500 * time.Millisecond, 12500 * time.Millisecond},
		{"released at once", Memory{limit, limit, limit, float64(limit)}, minRetry * 3 / 4, minRetry * 5 / 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := c.memory.Decide("0123456789abcdef", need)
			if d.Reason != OutOfMemory || d.Retry < c.least || d.Retry > c.most {
				t.Errorf("got %s with a time of %s, want %s with %s to %s", d.Reason, d.Retry, OutOfMemory, c.least, c.most)
			}
			c.memory.Used -= c.memory.missing(need)
			c.memory.Owned = c.memory.Used
			if got := c.memory.Decide("a", need).Reason; got != None {
				t.Errorf("after the missing memory was released: got %s, want none", got)
			}
		})
	}
}

func TestFreeRate(t *testing.T) {
	var r FreeRate
	now := time.Unix(1_800_000_000, 0)
	var got float64
	for i := range 40 {
		got = r.Update(now.Add(time.Duration(i)*time.Second), csmodel.Bytes(i)*csmodel.MiB)
	}
	if want := float64(csmodel.MiB); got < want*0.99 || got > want*1.01 {
		t.Errorf("got %f bytes per second, want %f", got, want)
	}
	if got := r.Update(now.Add(time.Minute), 0); got < 0 {
		t.Errorf("after the table was restored: got %f bytes per second, want none below zero", got)
	}
}
