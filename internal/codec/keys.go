package codec

import (
	"fmt"
	"strconv"
	"strings"
)

// Keys of the state service and what they begin with; package doc says what each holds.
const (
	Root               = "b/" // what all keys begin with
	KeyView            = "b/view"
	KeyFormat          = "b/format"
	KeyMachineTypes    = "b/flavors"
	PrefixFormat       = "b/format/"
	PrefixMachineTypes = "b/flavors/"
	PrefixMember       = "b/member/"
	PrefixJob          = "b/job/"
	PrefixPack         = "b/pack/"
	PrefixTask         = "b/task/"
	PrefixTeam         = "b/team/"
	PrefixCordons      = "b/mach/"
	PrefixWindow       = "b/window/"
	PrefixDependencies = "b/need/"
)

// Kind is what a key holds.
type Kind int

// The kinds of keys. KindUnknown is a key that this version doesn't know.
const (
	KindUnknown Kind = iota
	KindView
	KindMember
	KindFormat
	KindJob
	KindTasks // a chunk or a cell of one
	KindPack
	KindDependencies
	KindTeam
	KindCordons
	KindMachineTypes
	KindWindow
)

// kindByPrefix says what the keys below a prefix hold.
var kindByPrefix = [...]struct {
	prefix string
	kind   Kind
}{
	{PrefixTask, KindTasks},
	{PrefixPack, KindPack},
	{PrefixJob, KindJob},
	{PrefixTeam, KindTeam},
	{PrefixWindow, KindWindow},
	{PrefixCordons, KindCordons},
	{PrefixMember, KindMember},
	{PrefixDependencies, KindDependencies},
	{PrefixFormat, KindFormat},
	{PrefixMachineTypes, KindMachineTypes},
}

// ParseKey tells what a key holds and its name among the keys of that kind: the rest after the
// prefix, "" for a key without one.
func ParseKey(key string) (kind Kind, name string) {
	switch key {
	case KeyView:
		return KindView, ""
	case KeyFormat:
		return KindFormat, ""
	case KeyMachineTypes:
		return KindMachineTypes, ""
	}
	for _, p := range kindByPrefix {
		if strings.HasPrefix(key, p.prefix) {
			return p.kind, key[len(p.prefix):]
		}
	}
	return KindUnknown, ""
}

// KeyJob is the key of a job's header.
func KeyJob(id string) string { return PrefixJob + id }

// KeyChunk is the key of a chunk of a job.
func KeyChunk(id string, chunk int) string { return PrefixTask + id + "/" + strconv.Itoa(chunk) }

// KeyCell is the key of a cell of a split chunk of a job.
func KeyCell(id string, chunk, cell int) string {
	return PrefixTask + id + "/" + strconv.Itoa(chunk) + "/" + strconv.Itoa(cell)
}

// PackName names a pack of a shard: the rest of its key after PrefixPack.
func PackName(shard string, number int) string { return shard + "/" + strconv.Itoa(number) }

// KeyMachineTypePage is the key of a page of machine types, counted from 0.
func KeyMachineTypePage(page int) string {
	if page == 0 {
		return KeyMachineTypes
	}
	return PrefixMachineTypes + strconv.Itoa(page)
}

// KeyDependencyPiece is the key of a piece of the list of jobs that a job depends on. The tag
// names the list among those that were written for submissions of the same job.
func KeyDependencyPiece(id, tag string, piece int) string {
	return fmt.Sprintf("%s%s/%s/%d", PrefixDependencies, id, tag, piece)
}
