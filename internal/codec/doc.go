// Package codec has the stored formats: the keys of the state service, the records under
// them, and the short texts that tasks are kept in. Formats of earlier versions stay readable,
// and none is written that a version which may still run beside this one would misread.
//
// What is stored under which key:
//
//	b/view            domain.View: epoch, leader and serving controllers
//	b/member/NODE     a JSON string: the incarnation of a controller, bound to its lease
//	b/format          Format: what all controllers read, once all have announced it
//	b/format/NODE     Format: what one controller announced
//	b/job/ID          JobHeader
//	b/task/ID/K       ChunkValue: the tasks of chunk K of a job
//	b/task/ID/K/S     ChunkValue: the tasks of cell S of a split chunk
//	b/pack/NODE/K     ChunkValue: all tasks of several small jobs of one shard
//	b/need/ID/TAG/K   a JSON string: piece K of the names of jobs that a job depends on
//	b/team/NAME       TeamShares
//	b/mach/NODE       CordonPage
//	b/flavors         MachineTypePage: the first page
//	b/flavors/K       MachineTypePage: page K from 1 on
//	b/window/NODE     WindowRecord
//
// NODE is the name of a controller, ID that of a job. Bytes that were once written are kept by
// golden tests: see TestStoredBytes.
package codec
