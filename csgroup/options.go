// Package csgroup runs one replicated group: the consensus core of csraft, the files of csdisk and a Machine, in one
// actor.
package csgroup

import (
	"errors"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/jonboulle/clockwork"

	"cowslipstream.example/cowslipstream/csdisk"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
)

// Errors of this package. Test with errors.Is.
var (
	// ErrNoLeader reports that no leader was known until the context or Options.GiveUp ended. The proposal was not sent and
	// never runs.
	ErrNoLeader = errors.New("csgroup: no leader")
	// ErrTimeout reports that the context ended after the proposal was sent. The outcome is unknown.
	ErrTimeout = errors.New("csgroup: outcome unknown")
	// ErrRefused reports that the proposal was refused before it was sent, or a membership change by the leader. It
	// never runs.
	ErrRefused = errors.New("csgroup: refused")
	// ErrClosed reports a call after Close. The proposal was not sent and never runs.
	ErrClosed = errors.New("csgroup: closed")
)

// Options configure a group.
type Options struct {
	// Config names the group, this node and the configured voters. Zero durations take the defaults of csraft.
	// Incarnation is taken from the disk, or from the clock for a node without a disk, where it is zero.
	Config csraft.Config
	// Machine is the replicated state. The group owns it: other code reads it through Read and View.
	Machine csraft.Machine
	// Disk is the folder of this group. Nil makes the node a learner with a new incarnation at each start. The caller
	// closes the disk after Close.
	Disk csdisk.Disk
	// Clock defaults to the real clock.
	Clock clockwork.Clock
	// Send hands a message to the link of a node. It is called in the actor: it must not block and may drop messages.
	Send func(to csmodel.NodeID, m csraft.Message)
	// Spawner starts the actor, for example the context of a supervisor. Nil starts an actor system for this group.
	Spawner actor.SpawnerContext
	// Observe holds optional hooks.
	Observe Observe
	// SnapshotBytes and SnapshotEntries bound the log between two snapshots (4 MiB and 10,000 entries).
	SnapshotBytes   csmodel.Bytes
	SnapshotEntries int
	// Tick is the interval of the timer that drives elections, heartbeats and resends (50 ms).
	Tick time.Duration
	// Resend is the interval after which an unanswered proposal or read is sent again (500 ms).
	Resend time.Duration
	// GiveUp is the time without leader contact after which unsent proposals end with ErrNoLeader. With 0 they wait until
	// their context ends.
	GiveUp time.Duration

	manualTicks bool // tests send the ticks
}

// Observe holds hooks for the owner. They are called in the actor, one at a time, and must not block or call the group's
// waiting methods. Nil hooks are skipped.
type Observe struct {
	// Applied is called after an entry of kind EntryNormal was applied; duplicates of a proposal are not reported.
	Applied func(e csraft.Entry, result []byte)
	// Restored is called after the state of the machine was replaced by a snapshot.
	Restored func(i csmodel.Index)
	// Lead is called when this node becomes leader, and Follow when it stops or learns of another leader ("" is none).
	Lead   func(t csmodel.Term)
	Follow func(t csmodel.Term, leader csmodel.NodeID)
	// Error is called when the group fails (disk error, panic) and when it refuses a damaged folder.
	Error func(err error)
}

// Status describes the group for dumps and metrics.
type Status struct {
	Group       csmodel.GroupID
	Self        csmodel.NodeID
	Incarnation csmodel.Incarnation
	Role        csraft.Role
	Term        csmodel.Term
	Leader      csmodel.NodeID // empty where none is known
	Leading     bool           // this node leads and its lease is valid
	LastContact time.Time      // of the leader, on this node; Now on the leader itself
	Commit      csmodel.Index
	Applied     csmodel.Index
	First       csmodel.Index // first entry that is kept
	Last        csmodel.Index
	LogBytes    csmodel.Bytes // on disk, or in memory for a node without a disk
	Pending     int           // proposals and reads that wait for an outcome
	Members     []MemberStatus
	Damaged     int   // folders that were set aside since New
	Err         error // why the node does not vote, for example a disk error
}

// MemberStatus describes one member. Match and LastContact are known on the leader only.
type MemberStatus struct {
	csraft.Member
	Match       csmodel.Index
	LastContact time.Time
}
