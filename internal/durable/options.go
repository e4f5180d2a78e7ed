package durable

import (
	"time"

	"kitefall/internal/wal"
)

// Options configure a DB. A field with the zero value has its default. Sizes are in bytes.
type Options struct {
	FS                 wal.FS        // file system that holds the log
	SegmentBytes       uint32        // size of a log segment
	CheckpointBytes    int64         // size of the active memory table at which a checkpoint starts
	CheckpointInterval time.Duration // interval at which a checkpoint starts if changes are in memory
	MaxBufferedBytes   int64         // limit of the changes in memory; above it, updates wait for a checkpoint or fail
	MaxBufferWait      time.Duration // how long updates wait for a checkpoint before they fail with ErrCheckpointBehind
	MaxGroupUpdates    int           // maximum number of updates that share one sync of the log
	LockDeadline       time.Time     // deadline for Open's wait for another process to release the file
	ReadOnly           bool          // nothing is written; no other process may hold the file for writing
	VerifyOnOpen       bool          // Open checks all pages and values of the file
	OnRollback         func()        // called by the writer when a group of updates failed because it was not written to the log
	MemoryBuckets      []string      // buckets that are kept only in memory; their numbers follow those of the buckets in the file
}

const (
	defaultCheckpointBytes    = 4 << 20
	defaultCheckpointInterval = time.Second
	defaultMaxBufferedBytes   = 16 << 20
	defaultMaxBufferWait      = time.Second // clients wait for 2.5 s and longer
	defaultMaxGroupUpdates    = 512
	defaultLockTimeout        = time.Second
)

func (o *Options) setDefaults() {
	if o.FS == nil {
		o.FS = wal.OSFileSystem{}
	}
	if o.SegmentBytes == 0 {
		o.SegmentBytes = wal.DefaultSegmentSize
	}
	if o.CheckpointBytes == 0 {
		o.CheckpointBytes = defaultCheckpointBytes
	}
	if o.CheckpointInterval == 0 {
		o.CheckpointInterval = defaultCheckpointInterval
	}
	if o.MaxBufferedBytes == 0 {
		o.MaxBufferedBytes = defaultMaxBufferedBytes
	}
	if o.MaxBufferWait == 0 {
		o.MaxBufferWait = defaultMaxBufferWait
	}
	if o.MaxGroupUpdates == 0 {
		o.MaxGroupUpdates = defaultMaxGroupUpdates
	}
	if o.LockDeadline.IsZero() {
		o.LockDeadline = time.Now().Add(defaultLockTimeout)
	}
}
