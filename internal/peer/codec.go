package peer

import (
	"errors"

	flatbuffers "github.com/google/flatbuffers/go"

	"brassglade/internal/domain"
	"brassglade/internal/peer/fb"
	"brassglade/internal/scheduler"
)

// ErrMalformed means that bytes received from a peer are not a valid message.
var ErrMalformed = errors.New("malformed peer message")

const (
	initialBufferBytes = 1024 // initial size; the buffer grows as needed
	minMessageBytes    = 8    // root offset and table offset
	offsetBytes        = 4    // size of an offset in a vector
)

// Encode returns a message as a FlatBuffer; from is the sending controller's name. The encoded
// bytes depend on the order in which the parts of the message are written.
func Encode(from string, m scheduler.PeerMessage) []byte {
	e := encoder{flatbuffers.NewBuilder(initialBufferBytes)}
	machines := make([]flatbuffers.UOffsetT, len(m.Machines))
	for i := range m.Machines {
		machines[i] = e.machine(&m.Machines[i])
	}
	machineVector := e.vector(machines)
	reserved := e.vector(e.sharedStrings(m.Reserved))
	evicting := e.vector(e.sharedStrings(m.Evicting))
	var steal flatbuffers.UOffsetT
	if m.Steal != nil {
		steal = e.steal(m.Steal)
	}
	sender := e.CreateString(from)
	fb.MessageStart(e.Builder)
	fb.MessageAddFrom(e.Builder, sender)
	fb.MessageAddEpoch(e.Builder, m.Epoch)
	fb.MessageAddLoad(e.Builder, m.Load)
	fb.MessageAddMachines(e.Builder, machineVector)
	fb.MessageAddHolds(e.Builder, reserved)
	fb.MessageAddEvict(e.Builder, evicting)
	fb.MessageAddUsable(e.Builder, m.StateReachable)
	if m.Steal != nil {
		fb.MessageAddSteal(e.Builder, steal)
	}
	e.Finish(fb.MessageEnd(e.Builder))
	return e.FinishedBytes()
}

// encoder writes the parts of one message; each method returns the part's offset.
type encoder struct{ *flatbuffers.Builder }

func (e encoder) machine(m *scheduler.PeerMachine) flatbuffers.UOffsetT {
	name, address := e.CreateString(m.Name), e.CreateString(m.Addr)
	machineType, zone := e.CreateSharedString(m.Type), e.CreateSharedString(m.Zone)
	images := e.vector(e.sharedStrings(m.Images))
	fb.MachineStart(e.Builder)
	fb.MachineAddName(e.Builder, name)
	fb.MachineAddAddr(e.Builder, address)
	fb.MachineAddType(e.Builder, machineType)
	fb.MachineAddZone(e.Builder, zone)
	fb.MachineAddSpot(e.Builder, m.Spot)
	fb.MachineAddRecall(e.Builder, m.Leaving)
	fb.MachineAddShift(e.Builder, m.AgentEpoch)
	fb.MachineAddLoad(e.Builder, m.Load)
	fb.MachineAddImages(e.Builder, images)
	return fb.MachineEnd(e.Builder)
}

func (e encoder) steal(s *scheduler.StealRequest) flatbuffers.UOffsetT {
	machineType, zone := e.CreateString(s.Type), e.CreateString(s.Zone)
	fb.StealStart(e.Builder)
	fb.StealAddType(e.Builder, machineType)
	fb.StealAddZone(e.Builder, zone)
	fb.StealAddSpot(e.Builder, s.Spot)
	fb.StealAddCpu(e.Builder, s.Room.CPU)
	fb.StealAddGpu(e.Builder, s.Room.GPU)
	fb.StealAddMem(e.Builder, s.Room.Memory)
	fb.StealAddMost(e.Builder, int32(s.MaxTasks))
	return fb.StealEnd(e.Builder)
}

// sharedStrings writes each distinct string once per message, because most machines have the same
// images.
func (e encoder) sharedStrings(list []string) []flatbuffers.UOffsetT {
	offsets := make([]flatbuffers.UOffsetT, len(list))
	for i, s := range list {
		offsets[i] = e.CreateSharedString(s)
	}
	return offsets
}

func (e encoder) vector(offsets []flatbuffers.UOffsetT) flatbuffers.UOffsetT {
	e.StartVector(offsetBytes, len(offsets), offsetBytes)
	for i := len(offsets) - 1; i >= 0; i-- { // a FlatBuffer is written back to front
		e.PrependUOffsetT(offsets[i])
	}
	return e.EndVector(len(offsets))
}

// Decode parses a message and returns it with the sending controller's name. Malformed bytes give
// ErrMalformed, never a panic.
func Decode(frame []byte) (from string, m scheduler.PeerMessage, err error) {
	// The generated code does not check offsets, so damaged ones make it panic.
	defer func() {
		if recover() != nil {
			err = ErrMalformed
		}
	}()
	if len(frame) < minMessageBytes {
		return "", m, ErrMalformed
	}
	r := fb.GetRootAsMessage(frame, 0)
	d := decoder{frameBytes: len(frame), strings: map[string]string{}}
	m.Machines = make([]scheduler.PeerMachine, 0, d.capacity(r.MachinesLength()))
	from, m.Epoch, m.Load, m.StateReachable = string(r.From()), r.Epoch(), r.Load(), r.Usable()
	for i := range r.MachinesLength() {
		var machine fb.Machine
		r.Machines(&machine, i)
		m.Machines = append(m.Machines, d.machine(&machine))
	}
	for i := range r.HoldsLength() {
		m.Reserved = append(m.Reserved, string(r.Holds(i)))
	}
	for i := range r.EvictLength() {
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

// decoder reads the parts of one message.
type decoder struct {
	frameBytes int
	strings    map[string]string // interned types, zones and images, which are the same for hundreds of machines
}

// capacity limits a vector's announced length to what the frame can hold, so that damaged bytes
// can't make the process run out of memory.
func (d decoder) capacity(announced int) int { return min(announced, d.frameBytes/offsetBytes) }

func (d decoder) machine(x *fb.Machine) scheduler.PeerMachine {
	m := scheduler.PeerMachine{
		Name:       string(x.Name()),
		Addr:       string(x.Addr()),
		Type:       d.intern(x.Type()),
		Zone:       d.intern(x.Zone()),
		Spot:       x.Spot(),
		Leaving:    x.Recall(),
		AgentEpoch: x.Shift(),
		Load:       x.Load(),
	}
	images := x.ImagesLength()
	if images > 0 && images == d.capacity(images) {
		m.Images = make([]string, 0, images)
	}
	for i := range images {
		m.Images = append(m.Images, d.intern(x.Images(i)))
	}
	return m
}

// intern returns the same string for all equal byte slices of the message, to allocate it once.
func (d decoder) intern(b []byte) string {
	s, known := d.strings[string(b)]
	if !known {
		s = string(b)
		d.strings[s] = s
	}
	return s
}
