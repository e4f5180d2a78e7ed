package wal

import (
	"io"
	"os"
	"syscall"
)

// File is an open file with the operations that a log needs.
type File interface {
	io.WriterAt
	io.Closer
	Sync() error // when it returns nil, the data is on the disk
}

// FS is a file system with the operations that a log needs. Tests use implementations that return errors.
type FS interface {
	Create(path string) (File, error) // creates a file; fails if the file exists
	Open(path string) (File, error)   // opens an existing file for writing
	Rename(from, to string) error
	Remove(path string) error
	SyncDir(path string) error // when it returns nil, the entries of the directory are on the disk
}

// OSFileSystem is the FS of the operating system.
type OSFileSystem struct{}

const fileMode = 0o600

type osFile struct{ *os.File }

// Sync uses fdatasync, which does not write the timestamps of the file. The size of the file need not be written either,
// as segments do not grow.
func (f osFile) Sync() error { return syscall.Fdatasync(int(f.Fd())) }

// Create creates a file. It fails if the file exists.
func (OSFileSystem) Create(path string) (File, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_EXCL, fileMode)
	return osFile{f}, err
}

// Open opens an existing file for writing.
func (OSFileSystem) Open(path string) (File, error) {
	f, err := os.OpenFile(path, os.O_RDWR, fileMode)
	return osFile{f}, err
}

// Rename renames a file.
func (OSFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (OSFileSystem) Remove(path string) error { return os.Remove(path) }

// SyncDir flushes the entries of a directory to the disk.
func (OSFileSystem) SyncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}
