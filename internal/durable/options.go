package durable

import (
	"time"

	"kitefall/internal/wal"
)

// Options say how a DB is kept. A field that is zero has its default.
type Options struct {
	FS                 wal.FS        // file system of the log
	SegmentBytes       uint32        // size of a segment of the log
	CheckpointBytes    int64         // changes of this size in memory cause a checkpoint
	CheckpointInterval time.Duration // changes stay in memory only for about so long before a checkpoint
	MaxBufferedBytes   int64         // changes of this size in memory wait for a checkpoint, or fail if checkpoints fail
	MaxBatch           int           // changes that share one sync at most
	LockDeadline       time.Time     // how long to wait while another process holds the file
	ReadOnly           bool          // nothing is written; no other process may hold the file
	VerifyOnOpen       bool          // check all pages and values of the file first
	OnRollback         func()        // called by the writer when a group of changes was not written to the disk
	MemoryBuckets      []string      // buckets that are kept in memory alone; their numbers follow those of the others
}

const (
	defaultCheckpointBytes    = 4 << 20
	defaultCheckpointInterval = time.Second
	defaultMaxBufferedBytes   = 16 << 20
	defaultMaxBatch           = 512
	defaultLockTimeout        = time.Second
)

func (o *Options) setDefaults() {
	if o.FS == nil {
		o.FS = wal.Disk{}
	}
	if o.SegmentBytes == 0 {
		o.SegmentBytes = wal.DefaultSegment
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
	if o.MaxBatch == 0 {
		o.MaxBatch = defaultMaxBatch
	}
	if o.LockDeadline.IsZero() {
		o.LockDeadline = time.Now().Add(defaultLockTimeout)
	}
}
