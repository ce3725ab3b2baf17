package csjob

import (
	"math/bits"
	"time"
)

// Binary logarithms in fixed point. What the table learns must be the same bytes on all replicas. The functions of package math may round
// differently by architecture, and a compiler may fuse floating-point operations, so the table computes with integers only.

const (
	// logBits is the number of fractional bits of a logarithm, an error below 0.0001%.
	logBits = 20
	logOne  = int64(1) << logBits
	// maxLog bounds the logarithms that exp2 takes, so that its results fit into 63 bits.
	maxLog = 40 * logOne
)

// log2 returns the binary logarithm of a positive number, with logBits fractional bits.
func log2(v uint64) int64 {
	n := bits.Len64(v) - 1
	result := int64(n) << logBits
	m := v << (63 - n) // mantissa between 1 and 2, with 63 fractional bits
	for bit := logOne >> 1; bit > 0; bit >>= 1 {
		high, _ := bits.Mul64(m, m) // 62 fractional bits
		if high >= 1<<63 {
			result += bit
			m = high
		} else {
			m = high << 1
		}
	}
	return result
}

// Coefficients of a cubic approximation of 2^x between 0 and 1, with logBits fractional bits. Its error is at most 0.02%, and it is exact
// at both ends.
const (
	exp2Linear    = 729_000
	exp2Quadratic = 236_000
	exp2Cubic     = logOne - exp2Linear - exp2Quadratic
)

// exp2 returns 2^x with logBits fractional bits. x has logBits fractional bits and is limited to maxLog either way.
func exp2(x int64) int64 {
	x = min(max(x, -maxLog), maxLog)
	whole, f := x>>logBits, x&(logOne-1)
	v := exp2Cubic
	for _, c := range [...]int64{exp2Quadratic, exp2Linear, logOne} {
		v = c + v*f>>logBits
	}
	if whole < 0 {
		return v >> -whole
	}
	return v << whole
}

// logMicroseconds returns the binary logarithm of a duration in microseconds, which counts as one microsecond at least.
func logMicroseconds(d time.Duration) int64 { return log2(uint64(max(1, d/time.Microsecond))) }
