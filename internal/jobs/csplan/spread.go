package csplan

import (
	"sort"
	"time"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

const (
	// parentRuns is the weight of the distribution of a parent group, in runs: a group with as many runs counts half. With 16, jobs whose
	// declared run times are right were served worse than by the regression alone, because small groups followed chance.
	parentRuns = 48
	// ratioClasses is the number of equally likely classes of ratios in a spread.
	ratioClasses = 64
	// firstMiddle and endMiddle bound the classes of ordinary runs, from a twentieth to nine tenths. The order of work follows these: with
	// the mean of all runs, a few that take seven times as long make every job of their group seem longer than it is.
	firstMiddle, endMiddle = 3, 58
	// UnusualQuantile is the quantile of run times from which a run is unusually long.
	UnusualQuantile = 0.95
	// beyondTail is the expected remaining time of a run that is longer than all known ones, as a fraction of the time that it has run.
	beyondTail = 0.5
)

// spread is a distribution of the ratios of actual run times to the regression of their queue.
type spread struct {
	mean   float64
	middle float64               // mean without the shortest and the longest runs
	ratios [ratioClasses]float64 // the middle of each class, ascending
	// above is the mean of the ratios of a class and of all later ones.
	above [ratioClasses]float64
}

// weightedRatio is a ratio with its share of a distribution.
type weightedRatio struct{ ratio, share float64 }

// newSpread returns the distribution of the first group, shrunk towards the others, which are its parents in ascending order. It returns
// nil if no group has runs.
func newSpread(groups []*csjob.RunTimeGroup) *spread {
	var points []weightedRatio
	rest := 1.0
	for i, g := range groups {
		if g == nil || g.Weight() == 0 {
			continue
		}
		share := rest
		if hasRuns(groups[i+1:]) {
			share *= g.Weight() / (g.Weight() + parentRuns)
		}
		rest -= share
		bars := g.Ratios()
		total := 0.0
		for _, b := range bars {
			total += float64(b.Count)
		}
		for _, b := range bars {
			if b.Count > 0 {
				points = append(points, weightedRatio{float64(b.From+b.To) / 2 / csjob.RatioUnit, share * float64(b.Count) / total})
			}
		}
	}
	if len(points) == 0 {
		return nil
	}
	sort.Slice(points, func(i, j int) bool { return points[i].ratio < points[j].ratio })
	return classify(points)
}

func hasRuns(groups []*csjob.RunTimeGroup) bool {
	for _, g := range groups {
		if g != nil && g.Weight() > 0 {
			return true
		}
	}
	return false
}

// classify divides sorted points, whose shares add up to 1, into classes.
func classify(points []weightedRatio) *spread {
	d := &spread{}
	i, sum := 0, points[0].share
	for c := range ratioClasses {
		for sum < (float64(c)+0.5)/ratioClasses && i < len(points)-1 {
			i++
			sum += points[i].share
		}
		d.ratios[c] = points[i].ratio
	}
	for _, p := range points {
		d.mean += p.share * p.ratio
	}
	for _, r := range d.ratios[firstMiddle:endMiddle] {
		d.middle += r / (endMiddle - firstMiddle)
	}
	total := 0.0
	for c := ratioClasses - 1; c >= 0; c-- {
		total += d.ratios[c]
		d.above[c] = total / float64(ratioClasses-c)
	}
	return d
}

// quantile returns a quantile between 0 and 1.
func (d *spread) quantile(q float64) float64 {
	return d.ratios[min(max(int(q*ratioClasses), 0), ratioClasses-1)]
}

// remaining returns the expected remaining time of a run of which a part has passed, both as multiples of the regression.
func (d *spread) remaining(passed float64) float64 {
	c := sort.SearchFloat64s(d.ratios[:], passed)
	if c == ratioClasses {
		return beyondTail * passed
	}
	return max(d.above[c]-passed, 0)
}

// Prediction is what is known about the run time of a task before it starts.
type Prediction struct {
	// Typical is the mean of ordinary runs, and Mean that of all runs.
	Typical, Mean time.Duration
	center        time.Duration // run time at the ratio 1
	spread        *spread       // nil if too few runs are known
}

// Quantile returns a quantile of the run time between 0 and 1, and false if too little is known of its spread.
func (p *Prediction) Quantile(q float64) (time.Duration, bool) {
	if p.spread == nil {
		return p.Typical, false
	}
	return scale(p.center, p.spread.quantile(q)), true
}

// Remaining returns the expected time until a run ends that has run for the given time.
func (p *Prediction) Remaining(passed time.Duration) time.Duration {
	if p.spread == nil || p.center <= 0 {
		return max(p.Mean-passed, 0)
	}
	return scale(p.center, p.spread.remaining(float64(passed)/float64(p.center)))
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }
