// Package peer carries hints between controllers as FlatBuffers in frames over TCP: a
// length of four bytes (little endian), then the message, which the receiver acknowledges
// with one byte. Messages may be lost; one that finds its queue full is dropped.
package peer

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"brassglade/internal/scheduler"
	"brassglade/internal/tuning"
)

const (
	lengthBytes   = 4
	maxFrameBytes = 1 << 20 // at least twice what a message of 2,000 machines takes
)

// ackBytes is what a receiver writes for each frame.
var ackBytes = []byte{1}

// Handler takes a message of another controller.
type Handler func(from string, m scheduler.PeerMessage)

// Serve accepts links and hands each message to the handler, until the listener fails or is
// closed. Messages of one link are handled one after the other.
func Serve(ln net.Listener, handle Handler) error {
	s := &server{handle: handle}
	for {
		c, err := ln.Accept()
		if err != nil {
			return err
		}
		go s.receive(c)
	}
}

type server struct {
	handle    Handler
	malformed atomic.Int64 // messages since the start
}

// receive reads frames until the connection ends, says nothing for too long, or sends
// something that is no frame.
func (s *server) receive(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(tuning.PeerIdleTimeout))
		frame, err := readFrame(r)
		if err != nil {
			return
		}
		from, m, err := Decode(frame)
		if err != nil {
			slog.Info("malformed peer message", "from", c.RemoteAddr().String(),
				"bytes", len(frame), "count", s.malformed.Add(1))
			return
		}
		s.handle(from, m)
		_ = c.SetWriteDeadline(time.Now().Add(tuning.PeerTimeout))
		if _, err := c.Write(ackBytes); err != nil {
			return
		}
	}
}

// readFrame reads a length and as many bytes.
func readFrame(r io.Reader) ([]byte, error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	length := binary.LittleEndian.Uint32(head[:])
	if length > maxFrameBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrMalformed, length)
	}
	frame := make([]byte, length)
	if _, err := io.ReadFull(r, frame); err != nil {
		return nil, err
	}
	return frame, nil
}
