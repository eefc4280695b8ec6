package peer

import (
	"context"
	"encoding/binary"
	"net"
	"sync/atomic"
	"time"

	"brassglade/internal/tuning"
)

// Link sends frames to one other controller. Frames may be lost.
type Link struct {
	address string
	frames  chan []byte
}

// Dial starts a link to an address of the form "host:port". The link connects when there is a
// frame to send, and is closed when the context ends.
func Dial(ctx context.Context, address string) *Link {
	l := &Link{address: address, frames: make(chan []byte, tuning.PeerQueue)}
	go l.run(ctx)
	return l
}

// Send queues a frame, or drops it if the queue is full; it never blocks. The caller must not
// modify the frame afterwards.
func (l *Link) Send(frame []byte) {
	select {
	case l.frames <- frame:
	default:
	}
}

// run sends the queued frames until the context ends. Frames are dropped while the peer can't be
// reached.
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

// sender holds a link's connection. Only the goroutine that runs the link may call its methods.
type sender struct {
	conn     *ackedConn // nil: not connected
	failedAt time.Time  // when connecting or sending last failed
}

// send sends one frame and connects first if necessary. It drops the frame if it can't connect
// or if the last failure is less than tuning.PeerRetryPause ago.
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

// ackedConn is a connection whose other side acknowledges each frame with one byte. The
// acknowledgements are needed to detect a network partition: after one, a connection can stay
// open indefinitely without delivering anything, while writes to it still succeed.
type ackedConn struct {
	net.Conn
	lastAckAt       atomic.Int64 // when the last acknowledgement came, Unix time in ns; 0: none yet
	oldestUnackedAt time.Time    // when the oldest frame that may lack its acknowledgement was sent
}

func connect(address string) (*ackedConn, error) {
	conn, err := net.DialTimeout("tcp4", address, tuning.PeerTimeout)
	if err != nil {
		return nil, err
	}
	c := &ackedConn{Conn: conn, oldestUnackedAt: time.Now()}
	go c.readAcks()
	return c, nil
}

// isAckOverdue reports whether a frame has lacked its acknowledgement for longer than
// tuning.PeerAckTimeout. It has a side effect and must be called before each frame is sent: if an
// acknowledgement has arrived since oldestUnackedAt, all frames sent until now count as
// acknowledged, and oldestUnackedAt is set to now, when the next frame is sent.
func (c *ackedConn) isAckOverdue(now time.Time) bool {
	if c.lastAckAt.Load() >= c.oldestUnackedAt.UnixNano() {
		c.oldestUnackedAt = now
	}
	return now.Sub(c.oldestUnackedAt) > tuning.PeerAckTimeout
}

// send writes a frame's length and the frame.
func (c *ackedConn) send(frame []byte) error {
	b := make([]byte, 0, lengthBytes+len(frame))
	b = binary.LittleEndian.AppendUint32(b, uint32(len(frame)))
	_ = c.SetWriteDeadline(time.Now().Add(tuning.PeerTimeout))
	_, err := c.Write(append(b, frame...))
	return err
}

// readAcks records when acknowledgements arrive until reading fails, then closes the connection.
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
