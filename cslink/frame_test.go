package cslink

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"

	"github.com/coder/websocket"
)

// Guards against input that makes the decoder panic, and against frames that change when they are sent on.
func FuzzDecodeFrame(f *testing.F) {
	for _, seed := range []frame{
		beat{},
		beat{Ack: 1 << 40, Stamp: 65535, Echo: 1, Held: 5000},
		message{Sequence: 1},
		message{Ack: 7, Sequence: 1 << 33, Kind: 255, Payload: []byte("payload")},
	} {
		data, err := encodeFrame(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{})
	f.Add([]byte{typeMessage})
	f.Add([]byte{typeMessage, 0x84, 0, 1, 0, 0x5b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{typeBeat, 0x9f, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		first, err := decodeFrame(data)
		if err != nil {
			if !errors.Is(err, ErrProtocol) {
				t.Fatalf("got %v, want %v", err, ErrProtocol)
			}
			return
		}
		again, err := encodeFrame(first)
		if err != nil {
			t.Fatal(err)
		}
		second, err := decodeFrame(again)
		if err != nil || !reflect.DeepEqual(first, second) {
			t.Fatalf("got %v, %v, want %v", second, err, first)
		}
	})
}

// Guards against a payload of the allowed size whose frame is refused by the receiver.
func TestLargestFrame(t *testing.T) {
	data, err := encodeFrame(message{Ack: 1 << 63, Sequence: 1 << 63, Kind: 255, Payload: make([]byte, MaxPayload)})
	if err != nil {
		t.Fatal(err)
	}
	if len(data) > MaxFrame {
		t.Errorf("got %d bytes, want at most %d", len(data), MaxFrame)
	}
}

// Guards against frames above the limit, which must end the connection before they are held in memory.
func TestOversizeFrame(t *testing.T) {
	la, lb := listen(t), listen(t)
	b := run(t, Options{Self: "b", Listener: lb}, "a", la.Addr().String())
	a := run(t, Options{Self: "a", Listener: la}, "b", lb.Addr().String())
	if err := b.Send("a", Control, 1, make([]byte, MaxPayload+1), ""); !errors.Is(err, ErrTooLarge) {
		t.Errorf("got %v, want %v", err, ErrTooLarge)
	}
	connected(t, 1, a, b)
	data, err := encodeFrame(message{Sequence: 1, Payload: make([]byte, MaxFrame)})
	if err != nil {
		t.Fatal(err)
	}
	// The other end may close before all of it is written.
	_ = a.current("b")[Control].ws.Write(t.Context(), websocket.MessageBinary, data)
	eventually(t, "connection replaced", func() bool { return b.Peers()[0].Channels[Control].Sockets == 2 })
	if got := b.received(); len(got) > 0 {
		t.Errorf("got %d messages, want none", len(got))
	}
}

// Guards against an accepting node that does not know the secret: it must not pass by reflecting the dialer's proof.
func TestImpostor(t *testing.T) {
	impostor := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ws, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		defer ws.CloseNow()
		ctx := context.Background()
		var h hello
		var p proof
		_ = readValue(ctx, ws, typeHello, &h)
		_ = writeValue(ctx, ws, typeChallenge, challenge{Incarnation: 1, Nonce: h.Nonce})
		if readValue(ctx, ws, typeProof, &p) == nil {
			_ = writeValue(ctx, ws, typeWelcome, p)
		}
	}))
	defer impostor.Close()
	a := run(t, Options{Self: "a"}, "b", strings.TrimPrefix(impostor.URL, "http://"))
	eventually(t, "refused by the dialer", func() bool { return a.Peers()[0].Error == ErrSecret.Error() })
	if got := a.Peers()[0].Sockets; got != 0 {
		t.Errorf("got %d sockets, want none", got)
	}
}

// Guards against a proof that is accepted for another node, channel, direction or connection.
func TestProofIsBound(t *testing.T) {
	base := transcript{Role: roleDial, Hello: hello{Version: 1, From: "a", To: "b", Nonce: []byte("1")},
		Challenge: challenge{Incarnation: 1, Nonce: []byte("2")}}
	mac, err := base.mac(testSecret)
	if err != nil {
		t.Fatal(err)
	}
	if err := base.verify(testSecret, mac); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name   string
		change func(*transcript)
	}{
		{"role", func(t *transcript) { t.Role = roleAccept }},
		{"from", func(t *transcript) { t.Hello.From = "c" }},
		{"to", func(t *transcript) { t.Hello.To = "c" }},
		{"channel", func(t *transcript) { t.Hello.Channel = Data }},
		{"nonce of the dialer", func(t *transcript) { t.Hello.Nonce = []byte("3") }},
		{"nonce of the acceptor", func(t *transcript) { t.Challenge.Nonce = []byte("3") }},
		{"incarnation", func(t *transcript) { t.Challenge.Incarnation = 2 }},
		{"received", func(t *transcript) { t.Dialer = 1 }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			changed := base
			tt.change(&changed)
			if err := changed.verify(testSecret, mac); !errors.Is(err, ErrSecret) {
				t.Errorf("got %v, want %v", err, ErrSecret)
			}
		})
	}
}
