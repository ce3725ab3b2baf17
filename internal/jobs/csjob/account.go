package csjob

import (
	"crypto/sha256"

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
