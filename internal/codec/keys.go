package codec

import (
	"fmt"
	"strconv"
	"strings"
)

// Keys and key prefixes in the state service. The package comment lists the value of each.
const (
	Root               = "b/" // prefix of all keys
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

// Kind is the kind of value that is stored under a key.
type Kind int

// The kinds of keys. KindUnknown stands for a key that this version doesn't know.
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

// kindByPrefix lists the kind of the keys with each prefix.
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

// ParseKey returns the kind of a key and its name among the keys of that kind: the rest of the key
// after the prefix, or "" for a key that is not made of a prefix and a name.
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

// KeyJob returns the key of a job's header.
func KeyJob(id string) string { return PrefixJob + id }

// KeyChunk returns the key of a chunk of a job.
func KeyChunk(id string, chunk int) string { return PrefixTask + id + "/" + strconv.Itoa(chunk) }

// KeyCell returns the key of a cell of a split chunk of a job.
func KeyCell(id string, chunk, cell int) string {
	return PrefixTask + id + "/" + strconv.Itoa(chunk) + "/" + strconv.Itoa(cell)
}

// PackName returns the name of a pack of a shard: the part of its key after PrefixPack.
func PackName(shard string, number int) string { return shard + "/" + strconv.Itoa(number) }

// KeyMachineTypePage returns the key of a page of machine types, counted from 0.
func KeyMachineTypePage(page int) string {
	if page == 0 {
		return KeyMachineTypes
	}
	return PrefixMachineTypes + strconv.Itoa(page)
}

// KeyDependencyPiece returns the key of a piece of the list of jobs that a job depends on. Each
// submission of the same job writes its own list; the tag tells these lists apart.
func KeyDependencyPiece(id, tag string, piece int) string {
	return fmt.Sprintf("%s%s/%s/%d", PrefixDependencies, id, tag, piece)
}
