package simulation

import (
	"bytes"
	"strings"

	json "github.com/goccy/go-json"
)

// This file is frozen. It holds the stored values as the version before pipelines reads and
// writes them: the types of internal/core (types.go, chunk.go, learn.go) at commit 1036003,
// which is `production` in deploy/service.toml. The types must not follow those of package
// domain or codec, since they stand for a program that is already deployed: a controller that
// plays that version sees every value through them, and so drops what it doesn't know; and
// whatever the new version writes before all controllers are upgraded must pass through them
// whole (the rule misread; "Two versions side by side" in docs/design.md).
//
// It goes, or is taken anew from the then deployed version, once no controller of that version
// can come back. Go names may change; tags and types of fields may not.

type previousResources struct {
	CPU    int64 `json:"c,omitempty"`
	GPU    int64 `json:"g,omitempty"`
	Memory int64 `json:"m,omitempty"`
}

// previousSpec is a job's specification, in its header.
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

// previousChunk holds the tasks of a job or of several (b/task/, b/pack/, or in a header).
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

// previousTeam is a team's use of its limit, by shard (b/team/).
type previousTeam struct {
	Use map[string]previousResources `json:"r"`
}

// previousCordons are the cordons of a page of machines (b/mach/).
type previousCordons struct {
	Drain map[string]string `json:"d,omitempty"`
	Gone  []string          `json:"g,omitempty"`
}

// previousMachineTypes are the machine types that the cloud named (b/flavors).
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

// previousWindow is a shard's record for learning (b/window/).
type previousWindow struct {
	Sequence uint64    `json:"q"`
	Loads    []float64 `json:"x"`
	Passes   int       `json:"p"`
	Weights  []float64 `json:"t"`
}

// previousKeys says what the version before reads a key as; one that ends in "/" stands for
// all keys that begin so.
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

// newPreviousValue is an empty value of the type as which the version before reads a key; nil:
// it ignores the key.
func newPreviousValue(key string) any {
	for _, p := range previousKeys {
		if key == p.key || strings.HasSuffix(p.key, "/") && strings.HasPrefix(key, p.key) {
			return p.newValue()
		}
	}
	return nil
}

// previousReading is what the version before makes of a value.
type previousReading struct {
	value      []byte // as it would write it again
	isLossless bool   // nothing of the value is lost that way
	ok         bool   // it can read the value at all
}

// asPreviousVersion reads a value as the version before does.
func asPreviousVersion(key string, value []byte) previousReading {
	read := newPreviousValue(key)
	if read == nil || json.Unmarshal(value, read) != nil {
		return previousReading{}
	}
	written, err := json.Marshal(read)
	return previousReading{value: written, isLossless: isLosslessForPrevious(key, value, read), ok: err == nil}
}

// isLosslessForPrevious tells whether the version before knows all fields of a value, and the
// state of a job, which it would take for final otherwise.
func isLosslessForPrevious(key string, value []byte, read any) bool {
	if header, ok := read.(*previousHeader); ok && header.State != "open" && header.State != "done" && header.State != "cancelled" {
		return false
	}
	strict := json.NewDecoder(bytes.NewReader(value))
	strict.DisallowUnknownFields()
	return strict.Decode(newPreviousValue(key)) == nil
}
