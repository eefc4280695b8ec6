package simulation

import (
	"bytes"
	"strings"

	json "github.com/goccy/go-json"
)

// This file is frozen: Go names may change, tags and types of fields may not.
//
// It holds the stored values as the previous version, the last one without pipelines, reads and
// writes them: the types of internal/core (types.go, chunk.go, learn.go) at commit 1036003, which
// is `production` in deploy/service.toml. The types must not follow those of packages domain and
// codec, since they represent a program that is already deployed. A simulated controller of that
// version sees every value through them, and so loses what they don't know. Until all controllers
// are upgraded, the previous version must be able to rewrite every value that the new version
// writes without loss (rule misread; see "Two versions side by side" in docs/design.md).
//
// Once no controller of that version can be started again, remove this file or replace its types
// by those of the version deployed then.

type previousResources struct {
	CPU    int64 `json:"c,omitempty"`
	GPU    int64 `json:"g,omitempty"`
	Memory int64 `json:"m,omitempty"`
}

// previousSpec is a job's specification, part of its header.
type previousSpec struct {
	Class              string            `json:"cl"`
	Team               string            `json:"tm"`
	Shape              string            `json:"sh"`
	Priority           int               `json:"pr"`
	TaskCount          int               `json:"n"`
	Request            previousResources `json:"r"`
	MachineTypes       []string          `json:"ty,omitempty"`
	Zone               string            `json:"z,omitempty"`
	OneZone            bool              `json:"oz,omitempty"`
	Spread             bool              `json:"sp,omitempty"`
	Spot               bool              `json:"s,omitempty"`
	Image              string            `json:"im,omitempty"`
	ImageGB            float64           `json:"ig,omitempty"`
	EstimatedRuntime   float64           `json:"es,omitempty"`
	CheckpointInterval float64           `json:"ck,omitempty"`
	CheckpointCost     float64           `json:"sv,omitempty"`
	Deadline           float64           `json:"du,omitempty"`
}

// previousChunk holds tasks of one or several jobs (b/task/, b/pack/, or in a header).
type previousChunk struct {
	Dictionary []string          `json:"d,omitempty"`
	Jobs       map[string]string `json:"j"`
}

// previousHeader is a job's header (b/job/).
type previousHeader struct {
	State          string         `json:"st"`
	Spec           *previousSpec  `json:"s,omitempty"`
	TaskCount      int            `json:"n"`
	Shard          string         `json:"p,omitempty"`
	Order          uint64         `json:"q,omitempty"`
	ChunkSize      int            `json:"ch,omitempty"`
	Hops           int            `json:"hp,omitempty"`
	HoldsTasks     bool           `json:"i,omitempty"`
	Tasks          *previousChunk `json:"t,omitempty"`
	Pack           string         `json:"k,omitempty"`
	ChunksDone     int            `json:"dc,omitempty"`
	StoppedAttempt uint64         `json:"h,omitempty"`
	IsReleased     bool           `json:"cl,omitempty"`
}

// previousView is the view (b/view).
type previousView struct {
	Epoch          uint64            `json:"e"`
	Leader         string            `json:"l"`
	Members        map[string]string `json:"m"`
	Serving        []string          `json:"s"`
	OwnerOverrides map[string]string `json:"o,omitempty"`
	IsZoned        bool              `json:"z,omitempty"`
}

// previousTeam is how much of its limit a team uses, by shard (b/team/).
type previousTeam struct {
	Use map[string]previousResources `json:"r"`
}

// previousCordons holds the cordons of a page of machines (b/mach/).
type previousCordons struct {
	Drain map[string]string `json:"d,omitempty"`
	Gone  []string          `json:"g,omitempty"`
}

// previousMachineTypes holds the machine types listed by the cloud provider (b/flavors).
type previousMachineTypes struct {
	Types []struct {
		Name         string            `json:"n"`
		Capacity     previousResources `json:"r"`
		ImageCacheGB float64           `json:"c"`
		FetchGBPerS  float64           `json:"f"`
		Price        float64           `json:"p"`
		SpotPrice    float64           `json:"s"`
		BootSeconds  float64           `json:"b"`
		Zones        []string          `json:"z"`
	} `json:"f"`
}

// previousWindow is a shard's record of a window of learning (b/window/).
type previousWindow struct {
	Sequence uint64    `json:"q"`
	Loads    []float64 `json:"x"`
	Passes   int       `json:"p"`
	Weights  []float64 `json:"t"`
}

// previousKeys lists the keys that the previous version knows, with the type of their values. A
// key that ends in "/" is a prefix.
var previousKeys = []struct {
	key      string
	newValue func() any
}{
	{"b/view", func() any { return &previousView{} }},
	{"b/flavors", func() any { return &previousMachineTypes{} }},
	{"b/member/", func() any { return new(string) }},
	{"b/job/", func() any { return &previousHeader{} }},
	{"b/pack/", func() any { return &previousChunk{} }},
	{"b/task/", func() any { return &previousChunk{} }},
	{"b/team/", func() any { return &previousTeam{} }},
	{"b/mach/", func() any { return &previousCordons{} }},
	{"b/window/", func() any { return &previousWindow{} }},
}

// newPreviousValue returns a pointer to a zero value of the type that the previous version uses for
// a key; nil: it ignores the key.
func newPreviousValue(key string) any {
	for _, p := range previousKeys {
		if key == p.key || strings.HasSuffix(p.key, "/") && strings.HasPrefix(key, p.key) {
			return p.newValue()
		}
	}
	return nil
}

// previousReading is the result of reading a value with the previous version.
type previousReading struct {
	value      []byte // as the previous version would write it back
	isLossless bool   // nothing is lost when it is written back
	ok         bool   // the value can be read at all
}

// asPreviousVersion reads a value as the previous version does. The zero result means that it
// ignores the key or can't decode the value.
func asPreviousVersion(key string, value []byte) previousReading {
	read := newPreviousValue(key)
	if read == nil || json.Unmarshal(value, read) != nil {
		return previousReading{}
	}
	written, err := json.Marshal(read)
	return previousReading{value: written, isLossless: isLosslessForPrevious(key, value, read), ok: err == nil}
}

// isLosslessForPrevious reports whether the previous version knows all fields of a value and, in the
// header of a job, the job's state. It would take a state that it doesn't know for a final one.
func isLosslessForPrevious(key string, value []byte, read any) bool {
	if header, ok := read.(*previousHeader); ok && header.State != "open" && header.State != "done" && header.State != "cancelled" {
		return false
	}
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.DisallowUnknownFields()
	return decoder.Decode(newPreviousValue(key)) == nil
}
