// Package csgroup runs one member of a replicated group as an actor, which connects the consensus core of csraft, the storage
// of csdisk and a replicated state machine.
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

// Errors of this package, to be tested with errors.Is.
var (
	// ErrNoLeader reports that no leader was known before the context ended or Options.GiveUp elapsed. The proposal was not
	// sent and never runs.
	ErrNoLeader = errors.New("csgroup: no leader")
	// ErrTimeout reports that the context ended after the proposal was sent. The outcome is unknown.
	ErrTimeout = errors.New("csgroup: outcome unknown")
	// ErrRefused reports that the proposal was refused before it was sent, or that the leader refused a membership change.
	// It never runs.
	ErrRefused = errors.New("csgroup: refused")
	// ErrClosed reports a call after Close. The proposal was not sent and never runs.
	ErrClosed = errors.New("csgroup: closed")
)

// Options configure a group.
type Options struct {
	// Config names the group, this node and the configured voters. Zero durations take the defaults of csraft.
	// Incarnation is used only if the disk holds none; if it is zero, it is derived from the clock.
	Config csraft.Config
	// Machine is the replicated state machine. The group owns it; other code may only read it, through Read and View.
	Machine csraft.Machine
	// Disk is the folder of this group. If nil, the node is a learner with a new incarnation at each start. The caller closes
	// the disk after Close.
	Disk csdisk.Disk
	// Clock defaults to the real clock.
	Clock clockwork.Clock
	// Send passes a message to the link of a node. It is called by the actor, so it must not block; it may drop messages.
	Send func(to csmodel.NodeID, m csraft.Message)
	// Spawner starts the actor, for example the context of a supervisor. If nil, the group starts its own actor system.
	Spawner actor.SpawnerContext
	// Actor holds further properties of the actor, for example a dispatcher.
	Actor []actor.PropsOption
	// Observe holds optional hooks.
	Observe Observe
	// SnapshotBytes and SnapshotEntries limit what is applied between two snapshots, in bytes of command data and in entries
	// (defaults: 4 MiB and 10,000).
	SnapshotBytes   csmodel.Bytes
	SnapshotEntries int
	// Tick is the interval of the timer that drives elections, heartbeats and resends (default: 50 ms).
	Tick time.Duration
	// Resend is the time after which an unanswered proposal or read is resent (default: 500 ms).
	Resend time.Duration
	// GiveUp is the time without leader contact after which unsent proposals fail with ErrNoLeader. If 0, they wait until
	// their context ends.
	GiveUp time.Duration

	manualTicks bool // set by tests that send the ticks
}

// Observe holds hooks for the owner. The actor calls them one at a time; they must not block or call the group's blocking
// methods. Nil hooks are skipped.
type Observe struct {
	// Applied is called after an entry of kind EntryNormal was applied; duplicates of a proposal are not reported.
	Applied func(e csraft.Entry, result []byte)
	// Restored is called after the state of the machine was replaced by a snapshot.
	Restored func(i csmodel.Index)
	// Lead is called when this node becomes leader, and Follow when it stops leading or learns of another leader ("" if none
	// is known).
	Lead   func(t csmodel.Term)
	Follow func(t csmodel.Term, leader csmodel.NodeID)
	// Saved is called after each save with the time that the disk took.
	Saved func(took time.Duration)
	// Error is called after a disk error, a failed snapshot or a panic, and when a damaged folder is set aside.
	Error func(err error)
}

// Status is the state of the local member, for dumps and metrics.
type Status struct {
	Group       csmodel.GroupID
	Self        csmodel.NodeID
	Incarnation csmodel.Incarnation
	Role        csraft.Role
	Term        csmodel.Term
	Leader      csmodel.NodeID // empty if none is known
	Leading     bool           // this node leads and its lease is valid
	LastContact time.Time      // last contact with the leader; the current time on the leader itself
	Commit      csmodel.Index
	Applied     csmodel.Index
	First       csmodel.Index // first entry in the log
	Last        csmodel.Index
	LogBytes    csmodel.Bytes // on disk, or in memory for a node without a disk
	Pending     int           // calls that wait for an outcome
	Members     []MemberStatus
	Damaged     int   // damaged folders set aside since New
	Err         error // why the node does not vote, for example a disk error
}

// MemberStatus is the state of one member. Match and LastContact are set only on the leader.
type MemberStatus struct {
	csraft.Member
	Match       csmodel.Index
	LastContact time.Time
}
