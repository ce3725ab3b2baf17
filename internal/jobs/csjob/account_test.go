package csjob_test

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

var openKey = csjob.QueueKey{Host: "queue.example", Prefix: "/open/"}

func account(id csmodel.AccountID, keys ...string) csjob.Account {
	a := csjob.Account{ID: id}
	for _, k := range keys {
		a.Keys = append(a.Keys, csjob.DigestKey(k))
	}
	return a
}

// withAccounts returns a configuration that requires keys, with an open queue beside the one that tests use.
func withAccounts(version int64, accounts ...csjob.Account) *csjob.Config {
	c := config(version, "p")
	c.Document = fmt.Append(nil, version, accounts)
	c.Queues = append(c.Queues, csjob.Queue{Key: openKey, Name: "open", Pool: "p", Attempts: 1, Timeout: 1, Open: true})
	c.RequireKey, c.Accounts = true, accounts
	return c
}

// Guards against a configuration with ambiguous accounts that comes into force, faults that are found one configuration at a time, and keys in
// logs.
func TestInvalidAccounts(t *testing.T) {
	cases := []struct {
		name     string
		accounts []csjob.Account
		want     []string // in the error; none for a valid configuration
	}{
		{"valid", []csjob.Account{account("a", "k1", "k2"), account("b", "k3"), account("no keys")}, nil},
		{"same key twice in one account", []csjob.Account{account("a", "k1", "k1")}, nil},
		{"shared key", []csjob.Account{account("a", "k1", "k2"), account("b", "k2")}, []string{`key 1 of account "b" is also key 2 of account "a"`}},
		{"no name", []csjob.Account{account("a", "k1"), account("", "k2")}, []string{"account 2 of 2 has no name"}},
		{"same name", []csjob.Account{account("a", "k1"), account("a", "k2")}, []string{`account "a" is listed twice`}},
		{"empty key", []csjob.Account{account("a", "k1", "")}, []string{`key 2 of account "a" is empty`}},
		{"weight below 0", []csjob.Account{{ID: "a", Weight: -0.5}}, []string{`account "a" has the weight -0.5`}},
		{"weight that is no number", []csjob.Account{{ID: "a", Weight: math.NaN()}}, []string{`account "a" has the weight NaN`}},
		{"limits below 0", []csjob.Account{
			{ID: "a", Limit: csjob.Resources{CPU: -1}}, {ID: "b", Limit: csjob.Resources{Memory: -1}}, {ID: "c", Limit: csjob.Resources{GPUs: -1}},
		}, []string{`account "a" has a limit`, `account "b" has a limit`, `account "c" has a limit`}},
		{"all at once", []csjob.Account{account("a", "k1", ""), account("", "k1"), {ID: "a", Weight: -1}}, []string{
			`key 2 of account "a" is empty`, "account 2 of 3 has no name", `key 1 of account "" is also key 1 of account "a"`, `account "a" is listed twice`,
			`account "a" has the weight -1`,
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			broken := withAccounts(9, c.accounts...)
			err := broken.Validate()
			if got, want := errors.Is(err, csjob.ErrInvalid), c.want != nil; got != want {
				t.Fatalf("got error %v, want an invalid configuration: %t", err, want)
			}
			for _, text := range c.want {
				if !strings.Contains(err.Error(), text) {
					t.Errorf("got error %q, want it to contain %q", err, text)
				}
			}
			if c.want == nil {
				return
			}
			if strings.Contains(err.Error(), "k1") || strings.Contains(err.Error(), "k2") {
				t.Errorf("the error %q contains a key", err)
			}
			broken.Queues[0].Pool, broken.Queues[1].Timeout = "gone", 0
			if got := broken.Validate().Error(); !strings.Contains(got, `unknown pool "gone"`) || !strings.Contains(got, `"open" has the timeout`) || !strings.Contains(got, c.want[0]) {
				t.Errorf("got error %q, want the faults of both queues and of the accounts", got)
			}
			h := newHarness(t)
			if got := h.apply(csjob.Command{Config: broken}); got != csjob.Refused {
				t.Errorf("got verdict %d, want refused", got)
			}
		})
	}
}

// Guards against a store that runs out of memory because of the description of a document's faults (load: a document of 4 MiB).
func TestManyFaults(t *testing.T) {
	long := csmodel.AccountID(strings.Repeat("x", 1<<20))
	err := withAccounts(2, account(long, make([]string, 100_000)...), account(long)).Validate()
	if !errors.Is(err, csjob.ErrInvalid) {
		t.Fatalf("got error %v, want %v", err, csjob.ErrInvalid)
	}
	if got, want := len(err.Error()), 20_000; got > want || !strings.HasSuffix(err.Error(), "and 99901 more") {
		t.Errorf("got an error of %d bytes, want at most %d and the number of other faults", got, want)
	}
}

// Guards against withdrawn keys that go on working and added ones that don't, also on a follower that gets the table as a snapshot.
func TestKeysFollowVersions(t *testing.T) {
	const unknown = ""
	cases := []struct {
		name   string
		config *csjob.Config // applied after version 2 with the key "old" of account "a"
		want   map[string]csmodel.AccountID
	}{
		{"no change", nil, map[string]csmodel.AccountID{"old": "a", "new": unknown, "": unknown}},
		{"key replaced", withAccounts(3, account("a", "new")), map[string]csmodel.AccountID{"old": unknown, "new": "a"}},
		{"key added", withAccounts(3, account("a", "old", "new")), map[string]csmodel.AccountID{"old": "a", "new": "a"}},
		{"key passed on", withAccounts(3, account("a"), account("b", "old")), map[string]csmodel.AccountID{"old": "b"}},
		{"account removed", withAccounts(3), map[string]csmodel.AccountID{"old": unknown, "new": unknown}},
		{"earlier version arrives late", withAccounts(1, account("a", "new")), map[string]csmodel.AccountID{"old": "a", "new": unknown}},
		{"invalid version", withAccounts(3, account("a", "new", "")), map[string]csmodel.AccountID{"old": "a", "new": unknown}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.apply(csjob.Command{Config: withAccounts(2, account("a", "old"))})
			if c.config != nil {
				h.apply(csjob.Command{Config: c.config})
			}
			b, err := h.table.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			var follower csjob.Table
			if err := follower.Restore(b); err != nil {
				t.Fatal(err)
			}
			for name, table := range map[string]*csjob.Table{"leader": &h.table, "follower": &follower} {
				for key, want := range c.want {
					wantCheck := csjob.KeyKnown
					if want == unknown {
						wantCheck = csjob.KeyUnknown
					}
					if id, check := table.CheckKey(table.Queue(queueKey), key); id != want || check != wantCheck {
						t.Errorf("%s, key %q: got account %q and check %d, want %q and %d", name, key, id, check, want, wantCheck)
					}
					if id, check := table.CheckKey(table.Queue(openKey), key); id != want || check != csjob.KeyNotNeeded {
						t.Errorf("%s, key %q on an open queue: got account %q and check %d, want %q and %d", name, key, id, check, want, csjob.KeyNotNeeded)
					}
				}
			}
		})
	}
}

func (h *harness) submitAs(id csjob.ID, queue csjob.QueueKey, account csmodel.AccountID) csjob.Verdict {
	return h.apply(csjob.Command{Submit: &csjob.Submission{ID: id, Queue: queue, Account: account, Steps: steps(1)}})
}

func (h *harness) cancelAs(id csjob.ID, queue csjob.QueueKey, account csmodel.AccountID) csjob.Verdict {
	return h.apply(csjob.Command{Cancel: &csjob.JobRef{ID: id, Queue: queue, Account: account}})
}

// Guards against accounts that repeat, cancel or block jobs of other accounts.
func TestJobsBelongToAccounts(t *testing.T) {
	a, b := account("a", "ka"), account("b", "kb")
	cases := []struct {
		name string
		do   func(h *harness) csjob.Verdict
		want csjob.Verdict
		// state of the job "j" of account "a" afterwards
		state csjob.State
	}{
		{"own job repeated", func(h *harness) csjob.Verdict { return h.submitAs("j", queueKey, "a") }, csjob.Accepted, csjob.Queued},
		{"identifier of another account", func(h *harness) csjob.Verdict { return h.submitAs("j", queueKey, "b") }, csjob.Refused, csjob.Queued},
		{"own job cancelled", func(h *harness) csjob.Verdict { return h.cancelAs("j", queueKey, "a") }, csjob.Accepted, csjob.Cancelled},
		{"job of another account cancelled", func(h *harness) csjob.Verdict { return h.cancelAs("j", queueKey, "b") }, csjob.UnknownJob, csjob.Queued},
		{"no account", func(h *harness) csjob.Verdict { return h.cancelAs("j", queueKey, "") }, csjob.UnknownJob, csjob.Queued},
		{"account withdrawn before the commit", func(h *harness) csjob.Verdict {
			h.apply(csjob.Command{Config: withAccounts(3, a)})
			return h.submitAs("k", queueKey, "b")
		}, csjob.Unauthorized, csjob.Queued},
		{"accounts introduced before the commit", func(h *harness) csjob.Verdict { return h.submitAs("k", queueKey, "") }, csjob.Unauthorized, csjob.Queued},
		{"accounts given up", func(h *harness) csjob.Verdict {
			h.apply(csjob.Command{Config: config(3, "p")})
			return h.cancelAs("j", queueKey, "")
		}, csjob.Accepted, csjob.Cancelled},
		{"accounts introduced after the commit", func(h *harness) csjob.Verdict {
			h.apply(csjob.Command{Config: config(3, "p")})
			h.submitAs("k", queueKey, "")
			h.apply(csjob.Command{Config: withAccounts(4, a, b)})
			return h.submitAs("k", queueKey, "a")
		}, csjob.Accepted, csjob.Queued},
		{"job of an open queue cancelled by anyone", func(h *harness) csjob.Verdict {
			h.submitAs("k", openKey, "")
			return h.cancelAs("k", openKey, "b")
		}, csjob.Accepted, csjob.Queued},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.apply(csjob.Command{Config: withAccounts(2, a, b)})
			if got := h.submitAs("j", queueKey, "a"); got != csjob.Accepted {
				t.Fatalf("submission: got verdict %d, want accepted", got)
			}
			if got := c.do(h); got != c.want {
				t.Errorf("got verdict %d, want %d", got, c.want)
			}
			h.wantState("j", c.state)
			if got := h.table.Job("j").Submission.Account; got != "a" {
				t.Errorf("the job belongs to account %q, want a", got)
			}
		})
	}
}

// Guards against the cancellation of an unknown job that cancels a job which another account submits under the same identifier, and against
// one that its own account's delayed submission escapes.
func TestCancellationOfUnknownJobBelongsToAccount(t *testing.T) {
	cases := []struct {
		name                 string
		queue                csjob.QueueKey
		cancelled, submitted csmodel.AccountID
		config               *csjob.Config // in force at the cancellation instead of one with accounts
		want                 csjob.State
	}{
		{"same account", queueKey, "a", "a", nil, csjob.Cancelled},
		{"another account", queueKey, "b", "a", nil, csjob.Queued},
		{"open queue, with a key", openKey, "b", "", nil, csjob.Cancelled},
		{"accounts introduced in between", queueKey, "", "a", config(2, "p"), csjob.Cancelled},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			accounts := withAccounts(3, account("a", "ka"), account("b", "kb"))
			if c.config == nil {
				c.config = accounts
			}
			h.apply(csjob.Command{Config: c.config})
			if got := h.cancelAs("j", c.queue, c.cancelled); got != csjob.UnknownJob {
				t.Errorf("cancellation: got verdict %d, want unknown job", got)
			}
			h.apply(csjob.Command{Config: accounts})
			if got := h.submitAs("j", c.queue, c.submitted); got != csjob.Accepted {
				t.Errorf("submission: got verdict %d, want accepted", got)
			}
			h.wantState("j", c.want)
		})
	}
}

// BenchmarkCheckKey measures what the check of a key costs the leader of the largest deployment with accounts.
func BenchmarkCheckKey(b *testing.B) {
	h := newHarness(b)
	var accounts []csjob.Account
	for i := range 630 {
		accounts = append(accounts, account(csmodel.AccountID(fmt.Sprint("a", i)), fmt.Sprint("key of a", i), fmt.Sprint("next key of a", i)))
	}
	h.apply(csjob.Command{Config: withAccounts(2, accounts...)})
	q := h.table.Queue(queueKey)
	b.ReportAllocs()
	for b.Loop() {
		if _, check := h.table.CheckKey(q, "key of a400"); check != csjob.KeyKnown {
			b.Fatal("the key is unknown")
		}
	}
}
