package wal

import (
	"io"
	"os"
	"syscall"
)

// File is an open file as a log needs it.
type File interface {
	io.WriterAt
	io.Closer
	Sync() error // when it returns nil, the data is on the disk
}

// FS is a file system as a log needs it. Tests replace it by one that fails.
type FS interface {
	Create(path string) (File, error) // makes a new file; fails if it exists
	Open(path string) (File, error)   // opens an existing file for writing
	Rename(from, to string) error
	Remove(path string) error
	SyncDir(path string) error // when it returns nil, the names in the directory are on the disk
}

// Disk is the file system of the machine.
type Disk struct{}

const fileMode = 0o600

type diskFile struct{ *os.File }

// Sync leaves out the times and, since segments do not grow, the size of the file.
func (f diskFile) Sync() error { return syscall.Fdatasync(int(f.Fd())) }

// Create makes a new file; it fails if it exists.
func (Disk) Create(path string) (File, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_EXCL, fileMode)
	return diskFile{f}, err
}

// Open opens an existing file for writing.
func (Disk) Open(path string) (File, error) {
	f, err := os.OpenFile(path, os.O_RDWR, fileMode)
	return diskFile{f}, err
}

// Rename renames a file.
func (Disk) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (Disk) Remove(path string) error { return os.Remove(path) }

// SyncDir writes the names in a directory to the disk.
func (Disk) SyncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}
