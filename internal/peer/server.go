// Package peer exchanges advisory messages between controllers over TCP. A frame is a length
// of four bytes (little endian) and a message encoded as a FlatBuffer; the receiver
// acknowledges each frame with one byte. Messages may be lost: one is dropped if the sender's
// queue is full.
package peer

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"brassglade/internal/scheduler"
	"brassglade/internal/tuning"
)

const (
	lengthBytes   = 4
	maxFrameBytes = 1 << 20 // at least twice the size of a message with 2,000 machines
)

// ackBytes is what the receiver of a frame writes to acknowledge it.
var ackBytes = []byte{1}

// Handler handles a message from another controller, whose name is from. It is called
// concurrently for messages of different connections.
type Handler func(from string, m scheduler.PeerMessage)

// Serve accepts connections and passes each message to the handler until the listener fails or is
// closed; it returns that error. While the system lacks resources for a connection, it tries again
// after pauses. Messages of one connection are handled one after the other.
func Serve(ln net.Listener, handle Handler) error {
	s := &server{handle: handle}
	for {
		c, err := ln.Accept()
		switch {
		case err == nil:
			go s.receive(c)
		case isTransient(err):
			slog.Info("cannot accept a controller's connection", "error", err.Error())
			time.Sleep(tuning.AcceptRetry)
		default:
			return err
		}
	}
}

// isTransient reports whether an error of Accept concerns one connection, or a lack of resources that
// may pass, such as that of file descriptors.
func isTransient(err error) bool {
	for _, transient := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EINTR} {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}

type server struct {
	handle    Handler
	malformed atomic.Int64 // number of malformed messages since the start
}

// receive reads and acknowledges frames until the connection ends, is idle for longer than
// tuning.PeerIdleTimeout, or delivers a malformed frame.
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

// readFrame reads a frame's length and then its message. A length above maxFrameBytes gives an
// error that matches ErrMalformed.
func readFrame(r io.Reader) ([]byte, error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	length := binary.LittleEndian.Uint32(head[:])
	if length > maxFrameBytes {
		return nil, fmt.Errorf("%w: a frame of %d bytes is too long", ErrMalformed, length)
	}
	frame := make([]byte, length)
	if _, err := io.ReadFull(r, frame); err != nil {
		return nil, err
	}
	return frame, nil
}
