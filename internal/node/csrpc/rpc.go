// Package csrpc makes calls between the system's processes over their links.
package csrpc

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"cowslipstream.example/cowslipstream/cslink"
	"cowslipstream.example/cowslipstream/csmodel"
)

// Errors of Call. Test with errors.Is.
var (
	// ErrUnsent reports a call that never reached the peer.
	ErrUnsent = errors.New("csrpc: not sent")
	// ErrNoAnswer reports a call that may have been carried out.
	ErrNoAnswer = errors.New("csrpc: no answer")
	// ErrCodec reports bytes that are not a call or an answer.
	ErrCodec = errors.New("csrpc: undecodable")
)

// Method selects what a call does.
type Method uint8

// Kinds of link messages. Other kinds belong to the owner of the links.
const (
	KindCall   cslink.Kind = 0x10
	KindAnswer cslink.Kind = 0x11
	KindLeader cslink.Kind = 0x14 // a store tells an entry who leads; a LeaderAnswer
)

// Sender queues messages for peers.
type Sender interface {
	Send(to csmodel.NodeID, channel cslink.Channel, kind cslink.Kind, payload []byte, supersede string) error
	// Withdraw drops a queued message by its supersede key.
	Withdraw(to csmodel.NodeID, channel cslink.Channel, supersede string)
}

// Handler answers a call of a peer. It runs in its own goroutine.
type Handler func(from csmodel.NodeID, m Method, payload []byte) []byte

type envelope struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Method  Method
	Payload []byte
}

// waiter is a call without an answer.
type waiter struct {
	to     csmodel.NodeID
	answer chan []byte // closed when the peer is no longer connected
}

// Caller makes and answers calls. Use New.
type Caller struct {
	sender  Sender
	handler Handler
	// entrySlots and storeSlots are taken by calls of entries and of stores while they are answered.
	entrySlots, storeSlots chan struct{}

	mu      sync.Mutex
	last    uint64
	waiting map[uint64]waiter
	up      csmodel.Set[csmodel.NodeID]
}

// maxCalls bounds the calls that are answered at once, for entries and for stores each; more wait in the links' queues, which are bounded by
// bytes. The calls of stores have slots of their own, because those that wait keep back the messages of the group on the same link.
const maxCalls = 1024

// New returns a caller. A nil handler answers no calls.
func New(s Sender, h Handler) *Caller {
	return &Caller{
		// An answer to an earlier process at this address must not match a call of this one.
		sender: s, handler: h, last: rand.Uint64(),
		entrySlots: make(chan struct{}, maxCalls), storeSlots: make(chan struct{}, maxCalls),
		waiting: map[uint64]waiter{}, up: csmodel.NewSet[csmodel.NodeID](),
	}
}

// Up and Down tell which peers are connected. Calls to others are refused, so that they are not delivered later.
func (c *Caller) Up(n csmodel.NodeID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.up.Add(n)
}

// Down tells that a peer is not connected. Its calls end without an answer.
func (c *Caller) Down(n csmodel.NodeID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.up.Delete(n)
	for id, w := range c.waiting {
		if w.to == n {
			close(w.answer)
			delete(c.waiting, id)
		}
	}
}

// Connected tells whether a peer is connected.
func (c *Caller) Connected(n csmodel.NodeID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.up.Has(n)
}

// Peers returns the connected peers in ascending order.
func (c *Caller) Peers() []csmodel.NodeID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return csmodel.SortedKeys(c.up)
}

// Call sends a call and waits for its answer until the context ends or the peer is no longer connected. A call without an answer is
// withdrawn, so that the link doesn't deliver it when its caller has long been told that there is none.
func (c *Caller) Call(ctx context.Context, to csmodel.NodeID, m Method, payload []byte) ([]byte, error) {
	answer := make(chan []byte, 1)
	c.mu.Lock()
	if !c.up.Has(to) {
		c.mu.Unlock()
		return nil, ErrUnsent
	}
	c.last++
	id := c.last
	c.waiting[id] = waiter{to, answer}
	c.mu.Unlock()
	defer c.forget(id)
	b, err := cbor.Marshal(envelope{ID: id, Method: m, Payload: payload})
	if err != nil {
		return nil, errors.Join(ErrUnsent, err)
	}
	key := strconv.FormatUint(id, 36)
	if err := c.sender.Send(to, cslink.Control, KindCall, b, key); err != nil {
		return nil, errors.Join(ErrUnsent, err)
	}
	select {
	case b, answered := <-answer:
		if answered {
			return b, nil
		}
		err = ErrNoAnswer
	case <-ctx.Done():
		err = errors.Join(ErrNoAnswer, ctx.Err())
	}
	c.sender.Withdraw(to, cslink.Control, key)
	return nil, err
}

func (c *Caller) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, id)
}

// Receive takes in a message of a link. It reports false for kinds that are not its own.
func (c *Caller) Receive(from csmodel.NodeID, kind cslink.Kind, payload []byte) (bool, error) {
	if kind != KindCall && kind != KindAnswer {
		return false, nil
	}
	var e envelope
	if err := cbor.Unmarshal(payload, &e); err != nil {
		return true, errors.Join(ErrCodec, err)
	}
	if kind == KindAnswer {
		c.deliver(e)
		return true, nil
	}
	if c.handler == nil {
		return true, nil
	}
	slots := c.storeSlots
	if IsEntry(from) {
		slots = c.entrySlots
	}
	slots <- struct{}{}
	go func() {
		defer func() { <-slots }()
		c.answer(from, e)
	}()
	return true, nil
}

func (c *Caller) deliver(e envelope) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w, ok := c.waiting[e.ID]; ok {
		select {
		case w.answer <- e.Payload:
		default: // a second answer
		}
	}
}

func (c *Caller) answer(from csmodel.NodeID, e envelope) {
	e.Payload = c.handler(from, e.Method, e.Payload)
	b, err := cbor.Marshal(e)
	if err != nil {
		return // an envelope of bytes always encodes
	}
	// The caller's deadline covers an answer that a full queue drops.
	_ = c.sender.Send(from, cslink.Control, KindAnswer, b, "")
}
