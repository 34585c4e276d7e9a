// Package storage is a narrow interface to one directory of append-only files on disk. Written data is durable only
// after File.Sync has returned, and created or removed names only after Dir.Sync has. Package storagetest has a fake in
// memory that injects errors, torn writes and crashes.
package storage

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// Dir is a directory of append-only files.
type Dir interface {
	// Names lists the regular files other than the lock file.
	Names() ([]string, error)
	// Create creates a file and opens it for appending and reading. It fails if the file exists.
	Create(name string) (File, error)
	// Open opens a file for reading.
	Open(name string) (File, error)
	Remove(name string) error
	// Sync makes all earlier calls of Create and Remove durable.
	Sync() error
	// Lock takes the exclusive lock on the directory. If another holder has it, the error is ErrInUse.
	Lock() (release func(), err error)
}

// File is an append-only file.
type File interface {
	io.ReaderAt
	io.Closer
	// Write appends; after an error any part of p may have been written.
	Write(p []byte) (int, error)
	// Sync makes all written data durable. After an error, any part of the data written since the last successful Sync
	// may be lost, even if a later Sync succeeds.
	Sync() error
	Size() (int64, error)
}

// ErrInUse is returned by Dir.Lock when another process holds the lock.
var ErrInUse = errors.New("the directory is in use by another process")

// lockName is the file whose lock is the lock on the directory.
const lockName = "LOCK"

// diskDir is a Dir on disk, given by its path.
type diskDir string

// OpenDir returns the directory at path and creates it if it does not exist.
func OpenDir(path string) (Dir, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	return diskDir(path), nil
}

func (d diskDir) path(name string) string { return filepath.Join(string(d), name) }

func (d diskDir) Names() (names []string, err error) {
	entries, err := os.ReadDir(string(d))
	for _, e := range entries {
		if e.Name() != lockName && e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	return names, err
}

func (d diskDir) Create(name string) (File, error) {
	f, err := os.OpenFile(d.path(name), os.O_RDWR|os.O_APPEND|os.O_CREATE|os.O_EXCL, 0o600)
	return newDiskFile(f, err)
}

func (d diskDir) Open(name string) (File, error) {
	f, err := os.Open(d.path(name))
	return newDiskFile(f, err)
}

// newDiskFile wraps the result of an os function that opens a file.
func newDiskFile(f *os.File, err error) (File, error) {
	if err != nil {
		return nil, err
	}
	return diskFile{f}, nil
}

func (d diskDir) Remove(name string) error { return os.Remove(d.path(name)) }

func (d diskDir) Sync() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

func (d diskDir) Lock() (func(), error) {
	f, err := os.OpenFile(d.path(lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = ErrInUse
		}
		return nil, fmt.Errorf("%s: %w", d, err)
	}
	return func() { f.Close() }, nil
}

// diskFile is a File on disk.
type diskFile struct{ *os.File }

func (f diskFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}
