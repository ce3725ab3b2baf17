package csgroup

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"cowslipstream.example/cowslipstream/csraft"
)

// Stages of a call. Only a call in stageWaiting may be abandoned and reported as not run.
const (
	stageWaiting int32 = iota
	stageSent
	stageAbandoned
)

type callKind uint8

const (
	callPropose callKind = iota
	callChange
	callRead
	callTransfer
)

// call is a Propose, ChangeMember, Read or Transfer that waits for its outcome.
type call struct {
	ctx      context.Context
	kind     callKind
	proposal csraft.Proposal
	stage    atomic.Int32
	done     chan outcome
	attempts int
	sentAt   time.Time
}

type outcome struct {
	result []byte
	err    error
}

func newCall(ctx context.Context, k callKind, p csraft.Proposal) *call {
	return &call{ctx: ctx, kind: k, proposal: p, done: make(chan outcome, 1)}
}

// unsentError returns the error of a call whose context ended before the call was sent.
func (c *call) unsentError() error { return fmt.Errorf("%w: %w", ErrNoLeader, context.Cause(c.ctx)) }

func (c *call) finish(result []byte, err error) {
	select {
	case c.done <- outcome{result: result, err: err}:
	default:
	}
}

// ended reports whether the caller has stopped waiting.
func (c *call) ended() bool { return c.stage.Load() == stageAbandoned || c.expired() }

// expired reports whether the context is done. It does not call Err, which blocks until then in a context of the fake clock.
func (c *call) expired() bool {
	select {
	case <-c.ctx.Done():
		return true
	default:
		return false
	}
}

// markSent marks a proposal as sent. It returns false if the caller was already told that the proposal was not sent.
func (c *call) markSent() bool {
	return c.stage.CompareAndSwap(stageWaiting, stageSent) || c.stage.Load() == stageSent
}
