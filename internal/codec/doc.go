// Package codec defines the stored formats: the keys in the state service, the records stored
// under them, and the short texts that hold tasks. Formats of earlier versions stay readable. No
// format is written that an earlier version would misread while it may still run in the cluster.
//
// Keys and the types of their values:
//
//	b/view            domain.View: epoch, leader and serving controllers
//	b/member/NODE     a JSON string: the incarnation of a controller; bound to its lease
//	b/format          Format: the format that is on, since all controllers have announced it
//	b/format/NODE     Format: the format that one controller announced
//	b/job/ID          JobHeader
//	b/task/ID/K       ChunkValue: the tasks of chunk K of a job
//	b/task/ID/K/S     ChunkValue: the tasks of cell S of a split chunk
//	b/pack/NODE/K     ChunkValue: all tasks of several small jobs of one shard
//	b/need/ID/TAG/K   a JSON string: piece K of the list of jobs that a job depends on
//	b/team/NAME       TeamShares
//	b/mach/NODE       CordonPage
//	b/flavors         MachineTypePage: the first page
//	b/flavors/K       MachineTypePage: page K from 1 on
//	b/window/NODE     WindowRecord
//
// NODE is the name of a controller, and ID that of a job. TestStoredBytes checks the exact bytes of
// each stored format.
package codec
