// Package peer carries hints between controllers: FlatBuffers in
// length-prefixed frames over TCP. Messages may be lost; a full buffer drops.
package peer

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	flatbuffers "github.com/google/flatbuffers/go"

	"brassglade/internal/peer/fb"
	"brassglade/internal/scheduler"
	"brassglade/internal/tuning"

	"brassglade/internal/domain"
)

// Encode writes a message as a FlatBuffer.
func Encode(from string, m scheduler.PeerMessage) []byte {
	b := flatbuffers.NewBuilder(1024)
	str := func(l []string) []flatbuffers.UOffsetT {
		o := make([]flatbuffers.UOffsetT, len(l))
		for i, s := range l {
			o[i] = b.CreateSharedString(s) // the same images are on most machines
		}
		return o
	}
	vector := func(o []flatbuffers.UOffsetT) flatbuffers.UOffsetT {
		b.StartVector(4, len(o), 4)
		for i := len(o) - 1; i >= 0; i-- {
			b.PrependUOffsetT(o[i])
		}
		return b.EndVector(len(o))
	}
	ms := make([]flatbuffers.UOffsetT, len(m.Machines))
	for i, x := range m.Machines {
		name, addr := b.CreateString(x.Name), b.CreateString(x.Addr)
		typ, zone := b.CreateSharedString(x.Type), b.CreateSharedString(x.Zone)
		images := vector(str(x.Images))
		fb.MachineStart(b)
		fb.MachineAddName(b, name)
		fb.MachineAddAddr(b, addr)
		fb.MachineAddType(b, typ)
		fb.MachineAddZone(b, zone)
		fb.MachineAddSpot(b, x.Spot)
		fb.MachineAddRecall(b, x.Leaving)
		fb.MachineAddShift(b, x.AgentEpoch)
		fb.MachineAddLoad(b, x.Load)
		fb.MachineAddImages(b, images)
		ms[i] = fb.MachineEnd(b)
	}
	machines, holds, evict := vector(ms), vector(str(m.Reserved)), vector(str(m.Evicting))
	var steal flatbuffers.UOffsetT
	if s := m.Steal; s != nil {
		typ, zone := b.CreateString(s.Type), b.CreateString(s.Zone)
		fb.StealStart(b)
		fb.StealAddType(b, typ)
		fb.StealAddZone(b, zone)
		fb.StealAddSpot(b, s.Spot)
		fb.StealAddCpu(b, s.Room.CPU)
		fb.StealAddGpu(b, s.Room.GPU)
		fb.StealAddMem(b, s.Room.Memory)
		fb.StealAddMost(b, int32(s.MaxTasks))
		steal = fb.StealEnd(b)
	}
	f := b.CreateString(from)
	fb.MessageStart(b)
	fb.MessageAddFrom(b, f)
	fb.MessageAddEpoch(b, m.Epoch)
	fb.MessageAddLoad(b, m.Load)
	fb.MessageAddMachines(b, machines)
	fb.MessageAddHolds(b, holds)
	fb.MessageAddEvict(b, evict)
	fb.MessageAddUsable(b, m.Usable)
	if m.Steal != nil {
		fb.MessageAddSteal(b, steal)
	}
	b.Finish(fb.MessageEnd(b))
	return b.FinishedBytes()
}

// Decode reads a message; malformed bytes give an error, never a panic.
func Decode(p []byte) (from string, m scheduler.PeerMessage, err error) {
	defer func() {
		if recover() != nil {
			err = errors.New("malformed peer message")
		}
	}()
	if len(p) < 8 {
		return "", m, errors.New("short peer message")
	}
	r := fb.GetRootAsMessage(p, 0)
	// Types, zones and images repeat for each of hundreds of machines.
	same := map[string]string{}
	str := func(b []byte) string {
		s, ok := same[string(b)]
		if !ok {
			s = string(b)
			same[s] = s
		}
		return s
	}
	m.Machines = make([]scheduler.PeerMachine, 0, min(r.MachinesLength(), len(p)/4))
	from, m.Epoch, m.Load, m.Usable = string(r.From()), r.Epoch(), r.Load(), r.Usable()
	for i := 0; i < r.MachinesLength(); i++ {
		var x fb.Machine
		r.Machines(&x, i)
		pm := scheduler.PeerMachine{
			Name: string(x.Name()), Addr: string(x.Addr()), Type: str(x.Type()), Zone: str(x.Zone()),
			Spot: x.Spot(), Leaving: x.Recall(), AgentEpoch: x.Shift(), Load: x.Load(),
		}
		if n := x.ImagesLength(); n > 0 && n <= len(p)/4 {
			pm.Images = make([]string, 0, n)
		}
		for k := 0; k < x.ImagesLength(); k++ {
			pm.Images = append(pm.Images, str(x.Images(k)))
		}
		m.Machines = append(m.Machines, pm)
	}
	for i := 0; i < r.HoldsLength(); i++ {
		m.Reserved = append(m.Reserved, string(r.Holds(i)))
	}
	for i := 0; i < r.EvictLength(); i++ {
		m.Evicting = append(m.Evicting, string(r.Evict(i)))
	}
	if s := r.Steal(nil); s != nil {
		m.Steal = &scheduler.StealRequest{
			Type: string(s.Type()), Zone: string(s.Zone()), Spot: s.Spot(), MaxTasks: int(s.Most()),
			Room: domain.Resources{CPU: s.Cpu(), GPU: s.Gpu(), Memory: s.Mem()},
		}
	}
	return from, m, nil
}

const frameMost = 1 << 20

// Link sends to one other node.
type Link struct {
	ch chan []byte
}

// Dial starts a link; it connects when there is something to send.
func Dial(addr string) *Link {
	l := &Link{ch: make(chan []byte, tuning.PeerQueue)}
	go l.run(addr)
	return l
}

// Send queues a frame, or drops it when the buffer is full.
func (l *Link) Send(p []byte) {
	select {
	case l.ch <- p:
	default:
	}
}

// run writes frames. The other side acknowledges each with a byte: after a cut
// a connection can stay open and silent for good, and writes into it succeed.
func (l *Link) run(addr string) {
	var c net.Conn
	var acked *atomic.Int64
	var failed, first time.Time // first: oldest frame that may lack its byte
	for p := range l.ch {
		now := time.Now()
		if c != nil && acked.Load() >= first.UnixNano() {
			first = now
		}
		if c != nil && now.Sub(first) > tuning.PeerAck {
			_ = c.Close()
			c = nil
		}
		if c == nil {
			if now.Sub(failed) < tuning.PeerRetry {
				continue
			}
			n, err := net.DialTimeout("tcp4", addr, tuning.PeerTimeout)
			if err != nil {
				failed = time.Now()
				continue
			}
			c, first, acked = n, time.Now(), &atomic.Int64{}
			go readAcks(n, acked)
		}
		f := binary.LittleEndian.AppendUint32(make([]byte, 0, len(p)+4), uint32(len(p)))
		_ = c.SetWriteDeadline(time.Now().Add(tuning.PeerTimeout))
		if _, err := c.Write(append(f, p...)); err != nil {
			_ = c.Close()
			c, failed = nil, time.Now()
		}
	}
}

func readAcks(c net.Conn, at *atomic.Int64) {
	var b [16]byte
	for {
		if _, err := c.Read(b[:]); err != nil {
			_ = c.Close()
			return
		}
		at.Store(time.Now().UnixNano())
	}
}

// Serve accepts links and hands each message to take.
func Serve(ln net.Listener, take func(from string, m scheduler.PeerMessage)) error {
	var bad atomic.Int64
	for {
		c, err := ln.Accept()
		if err != nil {
			return err
		}
		go func() {
			defer func() { _ = c.Close() }()
			r := bufio.NewReader(c)
			var head [4]byte
			for {
				_ = c.SetReadDeadline(time.Now().Add(tuning.PeerIdle))
				if _, err := io.ReadFull(r, head[:]); err != nil {
					return
				}
				n := binary.LittleEndian.Uint32(head[:])
				if n > frameMost {
					return
				}
				p := make([]byte, n)
				if _, err := io.ReadFull(r, p); err != nil {
					return
				}
				from, m, err := Decode(p)
				if err != nil {
					slog.Info("malformed peer message", "from", c.RemoteAddr().String(), "bytes", n, "count", bad.Add(1))
					return
				}
				take(from, m)
				_ = c.SetWriteDeadline(time.Now().Add(tuning.PeerTimeout))
				if _, err := c.Write([]byte{1}); err != nil {
					return
				}
			}
		}()
	}
}
