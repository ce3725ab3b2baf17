package csrun

import (
	"cmp"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// reportedAccounts is the number of accounts with metrics of their own.
const reportedAccounts = 20

// otherAccounts is the label of all accounts without metrics of their own.
const otherAccounts = "other"

// accountUse is the usage and the limit of an account.
type accountUse struct {
	id          csmodel.AccountID
	used, limit csjob.Resources
}

// largestAccounts returns the accounts that use the most CPU, at most n, and the sum of all others, of which limits are not added up.
func largestAccounts(all []accountUse, n int) (largest []accountUse, other csjob.Resources) {
	slices.SortFunc(all, func(a, b accountUse) int {
		return cmp.Or(cmp.Compare(b.used.CPU, a.used.CPU), cmp.Compare(b.used.Memory, a.used.Memory), cmp.Compare(a.id, b.id))
	})
	n = min(n, len(all))
	for _, a := range all[n:] {
		other = other.Add(a.used)
	}
	return all[:n], other
}

// reportAccounts updates the metrics of accounts once per statsInterval.
func (r *runner) reportAccounts(now time.Time, t *csjob.Table) {
	m := r.options.Metrics
	waits := 0
	for _, n := range r.quotas.waiting {
		waits += n
	}
	m.quotaWaits.Set(float64(waits))
	r.stats.quotaWaits = max(r.stats.quotaWaits, waits)
	if now.Sub(r.quotas.reportedAt) < statsInterval || t.Config() == nil {
		return
	}
	r.quotas.reportedAt = now
	var all []accountUse
	for _, a := range t.Config().Accounts {
		all = append(all, accountUse{a.ID, t.AccountUsage(a.ID), a.Limit})
	}
	largest, other := largestAccounts(all, reportedAccounts)
	m.usage.Reset()
	m.limit.Reset()
	for _, a := range largest {
		setResources(m.usage, string(a.id), a.used)
		setResources(m.limit, string(a.id), a.limit)
	}
	if len(all) > len(largest) {
		setResources(m.usage, otherAccounts, other)
	}
}

func setResources(g *prometheus.GaugeVec, account string, r csjob.Resources) {
	g.WithLabelValues(account, "cpu").Set(float64(r.CPU) / 1000)
	g.WithLabelValues(account, "memory").Set(float64(r.Memory))
	g.WithLabelValues(account, "gpus").Set(float64(r.GPUs))
}
