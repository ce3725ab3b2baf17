package csjob

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// RatioUnit is the ratio 1 in the histograms of groups.
	RatioUnit = 1024
	// maxRatio is the largest ratio of an actual to a predicted run time that is told apart.
	maxRatio = 64 * RatioUnit
	// ratioDigits is one significant digit: an error of 6% at 1.7 KB a group.
	ratioDigits = 1
	// runWeight is the count of one run. Counts are halved as a whole, and a rare long run is forgotten after four halvings.
	runWeight = 8
	// maxGroupRuns is the number of runs at which all counts are halved, so that old runs lose weight.
	maxGroupRuns = 256
)

// RunTimeGroup holds the distribution of the run times of a group of steps, as ratios to what the regression of the queue predicted
// when each run ended. So steps of a queue that declare different run times have one distribution.
type RunTimeGroup struct {
	key        RunTimeKey
	runs       uint64
	regression regression // of groups of level QueueGroup
	ratios     *hdrhistogram.Histogram
	dropped    bool
}

func newRunTimeGroup(k RunTimeKey) *RunTimeGroup {
	return &RunTimeGroup{key: k, ratios: hdrhistogram.New(1, maxRatio, ratioDigits)}
}

// Runs returns the number of runs that the group has learned from. It only grows.
func (g *RunTimeGroup) Runs() uint64 { return g.runs }

// Dropped reports whether the group was dropped in favor of others, so that it learns no more.
func (g *RunTimeGroup) Dropped() bool { return g.dropped }

// Weight returns the number of runs that the group remembers.
func (g *RunTimeGroup) Weight() float64 { return float64(g.ratios.TotalCount()) / runWeight }

// Ratios returns the counts of the ratios of actual to predicted run times, in units of 1/RatioUnit.
func (g *RunTimeGroup) Ratios() []hdrhistogram.Bar { return g.ratios.Distribution() }

// Predict returns the typical run time of a step by the regression of its queue, on which the ratios of a group are based. The group has
// to be of level QueueGroup.
func (g *RunTimeGroup) Predict(s *Step) time.Duration {
	if g.regression.runs == 0 {
		return declared(s)
	}
	predicted := exp2(g.regression.predict(logMicroseconds(declared(s))))
	return time.Duration(float64(predicted) / float64(logOne) * float64(time.Microsecond))
}

// Typical returns the run time at the ratio 1 of a step of average declared run time, or zero if no run is known. The group has to be of
// level QueueGroup.
func (g *RunTimeGroup) Typical() time.Duration {
	if g.regression.runs == 0 {
		return 0
	}
	return time.Duration(float64(exp2(g.regression.meanActual)) / float64(logOne) * float64(time.Microsecond))
}

// ratioTo returns the ratio of an actual run time to the predicted one, in units of 1/RatioUnit.
func (g *RunTimeGroup) ratioTo(logRan, logDeclared int64) int64 {
	if g.regression.runs == 0 {
		return RatioUnit
	}
	return exp2(logRan-g.regression.predict(logDeclared)) * RatioUnit >> logBits
}

// record adds a ratio to the distribution.
func (g *RunTimeGroup) record(ratio int64) {
	g.runs++
	// RecordValues cannot fail, because the value is within the range of the histogram.
	_ = g.ratios.RecordValues(min(max(ratio, 1), maxRatio), runWeight)
	if g.ratios.TotalCount() < maxGroupRuns*runWeight {
		return
	}
	s := g.ratios.Export()
	for i, n := range s.Counts {
		s.Counts[i] = n / 2
	}
	g.ratios = hdrhistogram.Import(s)
}

// regressionRuns is the number of runs that the moving averages of a regression correspond to.
const regressionRuns = 50

// regression is a linear regression of the logarithm of the actual run time on that of the declared one, with exponentially weighted
// moments in fixed point.
type regression struct {
	runs         int64 // at most regressionRuns
	meanActual   int64
	meanDeclared int64
	variance     int64 // of the logarithms of declared run times
	covariance   int64
}

// predict returns the logarithm of the predicted run time.
func (r *regression) predict(logDeclared int64) int64 {
	slope := int64(0)
	if r.variance > 0 {
		slope = min(logOne, max(0, r.covariance<<logBits/r.variance))
	}
	return r.meanActual + slope*(logDeclared-r.meanDeclared)>>logBits
}

func (r *regression) observe(logActual, logDeclared int64) {
	if r.runs == 0 {
		*r = regression{runs: 1, meanActual: logActual, meanDeclared: logDeclared}
		return
	}
	r.runs = min(r.runs+1, regressionRuns)
	n := r.runs
	actualDeviation, declaredDeviation := logActual-r.meanActual, logDeclared-r.meanDeclared
	r.meanActual += actualDeviation / n
	r.meanDeclared += declaredDeviation / n
	r.variance = (r.variance + declaredDeviation*declaredDeviation>>logBits/n) * (n - 1) / n
	r.covariance = (r.covariance + actualDeviation*declaredDeviation>>logBits/n) * (n - 1) / n
}

// savedGroup is a group in a snapshot.
type savedGroup struct {
	Key        RunTimeKey `cbor:"1,keyasint"`
	Runs       uint64     `cbor:"2,keyasint"`
	Regression [5]int64   `cbor:"3,keyasint"`
	Positions  []int      `cbor:"4,keyasint"` // of the counts that aren't zero
	Counts     []int64    `cbor:"5,keyasint"`
}

func (g *RunTimeGroup) save() savedGroup {
	r := &g.regression
	s := savedGroup{Key: g.key, Runs: g.runs, Regression: [5]int64{r.runs, r.meanActual, r.meanDeclared, r.variance, r.covariance}}
	for i, n := range g.ratios.Export().Counts {
		if n > 0 {
			s.Positions, s.Counts = append(s.Positions, i), append(s.Counts, n)
		}
	}
	return s
}

func (s *savedGroup) restore() (*RunTimeGroup, error) {
	g := newRunTimeGroup(s.Key)
	g.runs = s.Runs
	m := s.Regression
	g.regression = regression{runs: m[0], meanActual: m[1], meanDeclared: m[2], variance: m[3], covariance: m[4]}
	counts := g.ratios.Export()
	if len(s.Positions) != len(s.Counts) {
		return nil, fmt.Errorf("%w: a distribution of run times has %d positions, want %d", ErrCodec, len(s.Positions), len(s.Counts))
	}
	for i, p := range s.Positions {
		if p < 0 || p >= len(counts.Counts) {
			return nil, fmt.Errorf("%w: a distribution of run times has the position %d, want less than %d", ErrCodec, p, len(counts.Counts))
		}
		counts.Counts[p] = s.Counts[i]
	}
	g.ratios = hdrhistogram.Import(counts)
	return g, nil
}

// MarshalCBOR implements cbor.Marshaler. It encodes the groups in the order of their last use, so that replicas with the same state
// have the same bytes.
func (r *RunTimes) MarshalCBOR() ([]byte, error) {
	out := make([]savedGroup, 0, r.order.Len())
	for e := r.order.Front(); e != nil; e = e.Next() {
		out = append(out, groupOf(e).save())
	}
	return encMode.Marshal(out)
}

// UnmarshalCBOR implements cbor.Unmarshaler. It returns ErrCodec for distributions that can't be decoded.
func (r *RunTimes) UnmarshalCBOR(b []byte) error {
	var saved []savedGroup
	if err := decMode.Unmarshal(b, &saved); err != nil {
		return fmt.Errorf("%w: %w", ErrCodec, err)
	}
	*r = RunTimes{}
	for i := range saved {
		g, err := saved[i].restore()
		if err != nil {
			return err
		}
		r.add(g)
	}
	return nil
}
