package cslink

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"

	"github.com/coder/websocket"

	"cowslipstream.example/cowslipstream/csmodel"
)

const (
	protocolVersion = 1
	nonceSize       = 16
	// handshakeLimit bounds a message of a peer that has not proved knowledge of the secret, in bytes.
	handshakeLimit = 512
)

// Roles of the two proofs, so that neither can be reflected as the other.
const (
	roleDial   = "dial"
	roleAccept = "accept"
)

// hello is the dialing node's first message.
type hello struct {
	_           struct{} `cbor:",toarray"`
	Version     uint8
	From, To    csmodel.NodeID
	Channel     Channel
	Incarnation csmodel.Incarnation
	Instance    uint64
	Nonce       []byte
}

// challenge is the accepting node's answer to hello.
type challenge struct {
	_           struct{} `cbor:",toarray"`
	Incarnation csmodel.Incarnation
	Instance    uint64
	Nonce       []byte
}

// proof is sent by both sides, first by the dialing node. Received is the last sequence number that the sender has from
// the other's life.
type proof struct {
	_        struct{} `cbor:",toarray"`
	Received uint64
	MAC      []byte
}

// refusal tells the dialing node why it is refused.
type refusal struct {
	_      struct{} `cbor:",toarray"`
	Reason uint8
}

// transcript is what a proof authenticates.
type transcript struct {
	_         struct{} `cbor:",toarray"`
	Role      string
	Hello     hello
	Challenge challenge
	Dialer    uint64 // Received of the dialing node
	Acceptor  uint64 // Received of the accepting node; 0 in the first proof
}

// reasons are the errors that a refusal can carry, by number.
var reasons = []error{ErrProtocol, ErrUnknownPeer, ErrWrongNode, ErrSecret, ErrStale, ErrClosed}

func (t transcript) mac(secret string) ([]byte, error) {
	data, err := encoding.Marshal(t)
	if err != nil {
		return nil, err
	}
	h := hmac.New(sha256.New, []byte(secret))
	h.Write(data)
	return h.Sum(nil), nil
}

func (t transcript) verify(secret string, mac []byte) error {
	want, err := t.mac(secret)
	if err != nil {
		return err
	}
	if !hmac.Equal(want, mac) {
		return ErrSecret
	}
	return nil
}

func newNonce() []byte {
	b := make([]byte, nonceSize)
	_, _ = rand.Read(b) // does not fail: crypto/rand ends the process where the system has no randomness
	return b
}

// agreement is the result of a handshake.
type agreement struct {
	link     *link
	peer     life
	received uint64 // last sequence number that the peer has
}

// introduce runs the dialing side of the handshake.
func (l *link) introduce(ctx context.Context, ws *websocket.Conn) (agreement, error) {
	o := l.links.options
	t := transcript{Role: roleDial, Hello: hello{
		Version:     protocolVersion,
		From:        o.Self,
		To:          l.peer,
		Channel:     l.channel,
		Incarnation: o.Incarnation,
		Instance:    l.links.instance,
		Nonce:       newNonce(),
	}}
	if err := writeValue(ctx, ws, typeHello, t.Hello); err != nil {
		return agreement{}, err
	}
	if err := readValue(ctx, ws, typeChallenge, &t.Challenge); err != nil {
		return agreement{}, err
	}
	peer := life{incarnation: t.Challenge.Incarnation, instance: t.Challenge.Instance}
	t.Dialer = l.receivedFrom(peer)
	mac, err := t.mac(o.Secret)
	if err != nil {
		return agreement{}, err
	}
	if err := writeValue(ctx, ws, typeProof, proof{Received: t.Dialer, MAC: mac}); err != nil {
		return agreement{}, err
	}
	var p proof
	if err := readValue(ctx, ws, typeWelcome, &p); err != nil {
		return agreement{}, err
	}
	t.Role = roleAccept
	t.Acceptor = p.Received
	if err := t.verify(o.Secret, p.MAC); err != nil {
		return agreement{}, err
	}
	return agreement{link: l, peer: peer, received: p.Received}, l.admit(peer)
}

// answer runs the accepting side of the handshake.
func (l *Links) answer(ctx context.Context, ws *websocket.Conn) (agreement, error) {
	a, err := l.examine(ctx, ws)
	if err == nil {
		return a, nil
	}
	for i, reason := range reasons {
		if errors.Is(err, reason) {
			// The connection is closed next in any case.
			_ = writeValue(ctx, ws, typeRefusal, refusal{Reason: uint8(i)})
			break
		}
	}
	return a, err
}

func (l *Links) examine(ctx context.Context, ws *websocket.Conn) (agreement, error) {
	t := transcript{Role: roleDial}
	if err := readValue(ctx, ws, typeHello, &t.Hello); err != nil {
		return agreement{}, err
	}
	k, err := l.expected(t.Hello)
	if err != nil {
		return agreement{}, err
	}
	t.Challenge = challenge{Incarnation: l.options.Incarnation, Instance: l.instance, Nonce: newNonce()}
	if err := writeValue(ctx, ws, typeChallenge, t.Challenge); err != nil {
		return agreement{}, err
	}
	var p proof
	if err := readValue(ctx, ws, typeProof, &p); err != nil {
		return agreement{}, err
	}
	t.Dialer = p.Received
	if err := t.verify(l.options.Secret, p.MAC); err != nil {
		return agreement{}, err
	}
	peer := life{incarnation: t.Hello.Incarnation, instance: t.Hello.Instance}
	if err := k.admit(peer); err != nil {
		return agreement{}, err
	}
	t.Role = roleAccept
	t.Acceptor = k.receivedFrom(peer)
	mac, err := t.mac(l.options.Secret)
	if err != nil {
		return agreement{}, err
	}
	err = writeValue(ctx, ws, typeWelcome, proof{Received: t.Acceptor, MAC: mac})
	return agreement{link: k, peer: peer, received: p.Received}, err
}

// expected returns the link that a hello is meant for.
func (l *Links) expected(h hello) (*link, error) {
	switch {
	case h.Version != protocolVersion:
		return nil, fmt.Errorf("%w: version %d", ErrProtocol, h.Version)
	case len(h.Nonce) != nonceSize:
		return nil, fmt.Errorf("%w: nonce of %d bytes", ErrProtocol, len(h.Nonce))
	case h.To != l.options.Self:
		return nil, fmt.Errorf("%w: %q", ErrWrongNode, h.To)
	case h.Channel >= channels:
		return nil, fmt.Errorf("%w: channel %d", ErrProtocol, h.Channel)
	}
	p := l.peer(h.From)
	if p == nil && l.options.Admit != nil && l.options.Admit(h.From) {
		if err := l.join(Peer{Node: h.From}, false); err != nil {
			return nil, err
		}
		p = l.peer(h.From)
	}
	if p == nil {
		return nil, fmt.Errorf("%w: %q", ErrUnknownPeer, h.From)
	}
	if p.dials.Load() && h.From >= l.options.Self {
		return nil, fmt.Errorf("%w: the node with the smaller name dials", ErrProtocol)
	}
	return p.links[h.Channel], nil
}

func writeValue(ctx context.Context, ws *websocket.Conn, kind byte, value any) error {
	data, err := encode(kind, value)
	if err != nil {
		return err
	}
	return ws.Write(ctx, websocket.MessageBinary, data)
}

// readValue reads a handshake message. A refusal is returned as its reason.
func readValue(ctx context.Context, ws *websocket.Conn, kind byte, value any) error {
	_, data, err := ws.Read(ctx)
	if err != nil {
		return err
	}
	if len(data) > 0 && data[0] == typeRefusal {
		var r refusal
		if err := decode(data, typeRefusal, &r); err != nil {
			return err
		}
		if int(r.Reason) >= len(reasons) {
			return fmt.Errorf("%w: refusal %d", ErrProtocol, r.Reason)
		}
		return fmt.Errorf("peer refused the connection: %w", reasons[r.Reason])
	}
	return decode(data, kind, value)
}
