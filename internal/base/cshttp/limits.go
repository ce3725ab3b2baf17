package cshttp

import "time"

// Sizes and times that no client inside the limits of a configuration reaches (262,144 bytes of body, 16,384 of header, 3 s for a
// header, 15 s of silence).
const (
	// SmallBody is the largest body that may use the part of the budget that is kept from larger ones.
	SmallBody = 16 << 10
	// MaxHeaderBytes bounds the header of a request. net/http reads 4 KiB more before it refuses.
	MaxHeaderBytes = 16 << 10
	// bodyIdle is the time without progress after which the connection of an unfinished body is closed.
	bodyIdle = 15 * time.Second
	// bodyTime is the longest time for a whole body: 262,144 bytes at 35 kbit/s.
	bodyTime = 60 * time.Second
	// stalledTime is the time without progress after which a body may be closed for the sake of others.
	stalledTime = time.Second
	// progressStep is the number of bytes that count as progress then, so that a body of one byte a second counts as stalled.
	progressStep = 1 << 10
)

// Costs in bytes of memory.
const (
	// bodyFactor counts a body itself, the texts decoded from it, and its copy in a message to another process.
	bodyFactor = 3
	// requestCost counts what a call holds besides its body.
	requestCost = 4 << 10
	// connectionCost counts goroutines and buffers (22 KB measured by BenchmarkConnectionMemory), and the first step of its header.
	connectionCost = 40 << 10
	// headerFactor and headerLineCost count a header: its bytes while it is read and as texts, and an entry of a map for each line.
	// Measured: 142 KB for 16 KB in 1,500 lines, which is 95 bytes for a line above that.
	headerFactor   = 3
	headerLineCost = 128
	// headerStep is the unit in which a header above the usual size is reserved. connectionCost holds the first one.
	headerStep = 16 << 10
)

// Parts of a process's memory and descriptors.
const (
	bodyShare       = 0.2
	connectionShare = 0.2
	smallShare      = 0.25 // of the budget of bodies, kept for small ones
	// reservedFiles are kept for links, files, readiness and metrics.
	reservedFiles = 200
)

// Limits are the bounds of a process. Zero values mean no bound.
type Limits struct {
	Bodies      int64 // bytes of memory for bodies and large headers in all servers together
	Large       int64 // the part of it that bodies above SmallBody may use
	Connections int   // of all servers together, except those with a bound of their own
}

// LimitsOf derives the bounds from the memory and the number of descriptors that a process may use.
func LimitsOf(memory int64, files int) Limits {
	l := Limits{Bodies: int64(bodyShare * float64(memory)), Large: int64((1 - smallShare) * bodyShare * float64(memory))}
	if files > 0 {
		l.Connections = max(files-reservedFiles, files/4, 1)
	}
	if memory > 0 {
		byMemory := max(int(connectionShare*float64(memory)/connectionCost), 1)
		if l.Connections == 0 || byMemory < l.Connections {
			l.Connections = byMemory
		}
	}
	return l
}

// Cost returns the memory that is reserved for a body of n bytes before it is decoded.
func Cost(n int64) int64 { return requestCost + bodyFactor*n }

// budget accounts memory.
type budget struct {
	limits      Limits
	used, large int64 // all, and what is reserved for large bodies
}

// reserve reports whether n bytes were free.
func (b *budget) reserve(n int64, large bool) bool {
	if b.limits.Bodies > 0 && (b.used+n > b.limits.Bodies || (large && b.largeFull(n))) {
		return false
	}
	b.force(n, large)
	return true
}

// largeFull reports whether n bytes are not free in the part of large bodies.
func (b *budget) largeFull(n int64) bool { return b.large+n > b.limits.Large }

// force reserves n bytes that had been reserved before.
func (b *budget) force(n int64, large bool) {
	b.used += n
	if large {
		b.large += n
	}
}

func (b *budget) release(n int64, large bool) {
	b.used -= n
	if large {
		b.large -= n
	}
}

// possible reports whether n bytes can be reserved when nothing else is.
func (b *budget) possible(n int64, large bool) bool {
	return b.limits.Bodies <= 0 || (n <= b.limits.Bodies && (!large || n <= b.limits.Large))
}
