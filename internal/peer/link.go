package peer

import (
	"context"
	"encoding/binary"
	"net"
	"sync/atomic"
	"time"

	"brassglade/internal/tuning"
)

// Link sends frames to one other controller.
type Link struct {
	address string
	frames  chan []byte
}

// Dial starts a link to an address, "host:port", which lasts until the context ends. It
// connects when there is a frame to send.
func Dial(ctx context.Context, address string) *Link {
	l := &Link{address: address, frames: make(chan []byte, tuning.PeerQueue)}
	go l.run(ctx)
	return l
}

// Send queues a frame, or drops it when the queue is full. The frame must not change later.
func (l *Link) Send(frame []byte) {
	select {
	case l.frames <- frame:
	default:
	}
}

// run sends the queued frames. While no connection can be had they are dropped.
func (l *Link) run(ctx context.Context) {
	var s sender
	defer s.disconnect()
	for {
		select {
		case frame := <-l.frames:
			s.send(l.address, frame)
		case <-ctx.Done():
			return
		}
	}
}

// sender holds a link's connection; its methods are called by one goroutine.
type sender struct {
	conn     *ackedConn // nil: not connected
	failedAt time.Time  // when connecting or sending last failed
}

// send sends one frame, and connects before where needed.
func (s *sender) send(address string, frame []byte) {
	now := time.Now()
	if s.conn != nil && s.conn.isAckOverdue(now) {
		s.disconnect()
	}
	if s.conn == nil {
		if now.Sub(s.failedAt) < tuning.PeerRetryPause {
			return
		}
		conn, err := connect(address)
		if err != nil {
			s.failedAt = time.Now()
			return
		}
		s.conn = conn
	}
	if err := s.conn.send(frame); err != nil {
		s.disconnect()
		s.failedAt = time.Now()
	}
}

func (s *sender) disconnect() {
	if s.conn != nil {
		_ = s.conn.Close()
		s.conn = nil
	}
}

// ackedConn is a connection whose other side acknowledges each frame with a byte: after
// a cut a connection can stay open and silent for good, and writes into it succeed.
type ackedConn struct {
	net.Conn
	lastAckAt       atomic.Int64 // time of the last acknowledgement, ns since 1970
	oldestUnackedAt time.Time    // when the oldest frame that may lack its byte was sent
}

func connect(address string) (*ackedConn, error) {
	n, err := net.DialTimeout("tcp4", address, tuning.PeerTimeout)
	if err != nil {
		return nil, err
	}
	c := &ackedConn{Conn: n, oldestUnackedAt: time.Now()}
	go c.readAcks()
	return c, nil
}

// isAckOverdue tells whether a frame has lacked its acknowledgement for too long. It must be
// asked before each frame, since it notes what was acknowledged: one acknowledgement since
// the last frames clears all of them.
func (c *ackedConn) isAckOverdue(now time.Time) bool {
	if c.lastAckAt.Load() >= c.oldestUnackedAt.UnixNano() {
		c.oldestUnackedAt = now
	}
	return now.Sub(c.oldestUnackedAt) > tuning.PeerAckTimeout
}

// send writes a frame behind its length.
func (c *ackedConn) send(frame []byte) error {
	b := make([]byte, 0, lengthBytes+len(frame))
	b = binary.LittleEndian.AppendUint32(b, uint32(len(frame)))
	_ = c.SetWriteDeadline(time.Now().Add(tuning.PeerTimeout))
	_, err := c.Write(append(b, frame...))
	return err
}

// readAcks notes when the other side acknowledges, until the connection ends.
func (c *ackedConn) readAcks() {
	var b [16]byte
	for {
		if _, err := c.Read(b[:]); err != nil {
			_ = c.Close()
			return
		}
		c.lastAckAt.Store(time.Now().UnixNano())
	}
}
