package csjob

import (
	"crypto/sha256"
	"strings"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// KeyDigest is the SHA-256 digest of a key of a client account. The state holds no keys apart from the operator's document.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Account holds the settings of a client account.
type Account struct {
	ID   csmodel.AccountID `cbor:"1,keyasint"`
	Keys []KeyDigest       `cbor:"2,keyasint,omitempty"`
	// Weight is the account's share of a full pool relative to other accounts, and the number of jobs per second that it is owed.
	// Zero is no limit.
	Weight float64 `cbor:"3,keyasint,omitempty"`
	// Limit is the maximum of resources that the account's runs may use at a time. A component of zero is no limit.
	Limit Resources `cbor:"4,keyasint,omitempty"`
}

// Account returns the settings of a client account in the current configuration, and false if it has none.
func (t *Table) Account(id csmodel.AccountID) (Account, bool) {
	a := t.accounts[id]
	if a == nil {
		return Account{}, false
	}
	return *a, true
}

// AccountOf returns the client account with a key in the current configuration, and false if no account has it. The time of the lookup
// says nothing about keys, because it compares digests.
func (t *Table) AccountOf(key string) (Account, bool) {
	a := t.keys[DigestKey(key)]
	if a == nil {
		return Account{}, false
	}
	return *a, true
}

// KeyCheck is what the check of the key of a request found.
type KeyCheck uint8

// Results of a check.
const (
	KeyNotChecked KeyCheck = iota // the request was answered before
	KeyNotNeeded                  // the queue is open, or the configuration requires no keys
	KeyKnown                      // a client account has the key
	KeyUnknown                    // no client account has the key
)

// CheckKey returns the client account with the key of a request for a queue of the current configuration, if any, and whether the request
// may be served.
func (t *Table) CheckKey(q *Queue, key string) (csmodel.AccountID, KeyCheck) {
	if !t.RequiresKeys() {
		return "", KeyNotNeeded
	}
	a, known := t.AccountOf(key)
	switch {
	case q.Open:
		return a.ID, KeyNotNeeded
	case known:
		return a.ID, KeyKnown
	default:
		return "", KeyUnknown
	}
}

// RequiresKeys reports whether the current configuration requires keys.
func (t *Table) RequiresKeys() bool { return t.state.Config != nil && t.state.Config.RequireKey }

func (t *Table) needsKey(q *Queue) bool { return t.RequiresKeys() && !q.Open }

// Uniform reports whether all requests whose path begins with the prefix of a queue need a key, or none of them does.
func (t *Table) Uniform(q *Queue) bool {
	for _, o := range t.routing[q.Key.Host] {
		if o.Open != q.Open && strings.HasPrefix(o.Key.Prefix, q.Key.Prefix) {
			return false
		}
	}
	return true
}

// MayAccess reports whether a client account may read, cancel and repeat a job. Any request may do so for a job without an account, which
// was accepted from a queue that was open or when no keys were required.
func (t *Table) MayAccess(j *Job, id csmodel.AccountID) bool {
	return !t.RequiresKeys() || j.Submission.Account == "" || j.Submission.Account == id
}

// admits reports whether the configuration still lets an account submit jobs to a queue. The leader checked the key before it proposed the
// submission, and a configuration that withdraws the account may have been committed in between.
func (t *Table) admits(q *Queue, id csmodel.AccountID) bool {
	return !t.needsKey(q) || t.accounts[id] != nil
}

// recordCancellation keeps the cancellation of an unknown job for the jobs of its account. Jobs of open queues have no account.
func (t *Table) recordCancellation(r JobRef, at time.Time) {
	if q := t.Queue(r.Queue); q != nil && !t.needsKey(q) {
		r.Account = ""
	}
	t.addCancelled(r.name(), at)
}

// cancelledBefore reports whether a job was cancelled before its submission arrived, by its account or when its queue needed no keys.
func (t *Table) cancelledBefore(s Submission) bool {
	_, byAccount := t.state.Cancelled[JobRef{Queue: s.Queue, ID: s.ID, Account: s.Account}.name()]
	_, byAnyone := t.state.Cancelled[JobRef{Queue: s.Queue, ID: s.ID}.name()]
	return byAccount || byAnyone
}

// addAccounts adds the faults of the accounts of a configuration. Keys are named by their positions, because the text is logged.
func (f *faults) addAccounts(accounts []Account) {
	type position struct{ account, key int }
	names, keys := csmodel.NewSet[csmodel.AccountID](), map[KeyDigest]position{}
	noKey := DigestKey("")
	for i, a := range accounts {
		switch {
		case a.ID == "":
			f.addf("account %d of %d has no name", i+1, len(accounts))
		case names.Has(a.ID):
			f.addf("account %.64q is listed twice", a.ID)
		}
		names.Add(a.ID)
		for n, k := range a.Keys {
			first, used := keys[k]
			switch {
			case k == noKey:
				f.addf("key %d of account %.64q is empty", n+1, a.ID)
			case !used:
				keys[k] = position{i, n}
			case first.account != i:
				f.addf("key %d of account %.64q is also key %d of account %.64q", n+1, a.ID, first.key+1, accounts[first.account].ID)
			}
		}
		if !(a.Weight >= 0) {
			f.addf("account %.64q has the weight %g, want at least 0", a.ID, a.Weight)
		}
		if l := a.Limit; l.CPU < 0 || l.Memory < 0 || l.GPUs < 0 {
			f.addf("account %.64q has a limit of %d thousandths of a core, %d MiB and %d GPUs, want at least 0 of each",
				a.ID, l.CPU, l.Memory, l.GPUs)
		}
	}
}

// indexAccounts derives the indexes of client accounts from the current configuration.
func (t *Table) indexAccounts() {
	t.accounts, t.keys = map[csmodel.AccountID]*Account{}, map[KeyDigest]*Account{}
	for i := range t.state.Config.Accounts {
		a := &t.state.Config.Accounts[i]
		t.accounts[a.ID] = a
		for _, k := range a.Keys {
			t.keys[k] = a
		}
	}
}
