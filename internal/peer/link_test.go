package peer

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"brassglade/internal/scheduler"
)

// listen returns a listener on a free local port, which is closed at the end of the test.
func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// receive returns the next value of a channel, and fails the test if none comes within 5 s.
func receive[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case x := <-c:
		return x
	case <-time.After(5 * time.Second):
		t.Fatal("no value received within 5 s")
		panic("unreachable")
	}
}

// TestLinkDeliversInOrder checks that frames arrive complete, in order and with the sender's
// name.
func TestLinkDeliversInOrder(t *testing.T) {
	ln := listen(t)
	epochs := make(chan uint64, 3)
	ended := make(chan error, 1)
	go func() {
		ended <- Serve(ln, func(from string, m scheduler.PeerMessage) {
			if from != "c-1" {
				t.Errorf("message from %q, want c-1", from)
			}
			epochs <- m.Epoch
		})
	}()
	l := Dial(t.Context(), ln.Addr().String())
	for epoch := uint64(1); epoch <= 3; epoch++ {
		l.Send(Encode("c-1", scheduler.PeerMessage{Epoch: epoch}))
		if got := receive(t, epochs); got != epoch {
			t.Errorf("epoch %d, want %d", got, epoch)
		}
	}
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	if err := receive(t, ended); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Serve ended with %v, want net.ErrClosed", err)
	}
}

// TestFrameWireFormat checks the bytes of a frame and of its acknowledgement, and that a frame
// that is too long ends the connection.
func TestFrameWireFormat(t *testing.T) {
	ln := listen(t)
	go func() { _ = Serve(ln, func(string, scheduler.PeerMessage) {}) }()
	c, err := net.Dial("tcp4", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	frame := Encode("c-1", scheduler.PeerMessage{Epoch: 4})
	if _, err := c.Write(append(binary.LittleEndian.AppendUint32(nil, uint32(len(frame))), frame...)); err != nil {
		t.Fatal(err)
	}
	var ack [2]byte
	if n, err := c.Read(ack[:]); err != nil || n != 1 || ack[0] != 1 {
		t.Errorf("acknowledgement % x, error %v; want the byte 01", ack[:n], err)
	}
	// The length of a frame that is too long ends the connection.
	if _, err := c.Write(binary.LittleEndian.AppendUint32(nil, maxFrameBytes+1)); err != nil {
		t.Fatal(err)
	}
	if n, err := c.Read(ack[:]); n != 0 || !errors.Is(err, io.EOF) {
		t.Errorf("after a frame that is too long: read %d bytes, error %v; want the connection closed", n, err)
	}
}

// TestFullQueueDropsFrames checks that Send drops a frame instead of blocking when the queue
// is full.
func TestFullQueueDropsFrames(t *testing.T) {
	l := &Link{frames: make(chan []byte, 1)}
	l.Send([]byte{1})
	l.Send([]byte{2})
	if got := receive(t, l.frames); got[0] != 1 || len(l.frames) != 0 {
		t.Errorf("first frame %v, %d more queued; want frame 1 and no more", got, len(l.frames))
	}
}
