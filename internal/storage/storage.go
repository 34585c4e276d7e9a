// Package storage is the narrow interface through which durable state meets a disk: one folder of append-only files. What
// is written counts only once File.Sync has returned, names only once Dir.Sync has. A stand-in that fails, tears and
// crashes is in storagetest.
package storage

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// Dir holds files by their names.
type Dir interface {
	Names() ([]string, error)
	// Create makes a file that must not exist.
	Create(name string) (File, error)
	// Open opens a file for reading.
	Open(name string) (File, error)
	Remove(name string) error
	// Sync makes what was created and removed last.
	Sync() error
	// Lock takes the folder for this process, or returns ErrInUse.
	Lock() (release func(), err error)
}

// File is a file that only grows.
type File interface {
	io.ReaderAt
	io.Closer
	// Write appends; after an error any part of p may have been written.
	Write(p []byte) (int, error)
	// Sync makes what was written last. After an error nothing is known of what was written since the last success, and
	// a later success says nothing of it.
	Sync() error
	Size() (int64, error)
}

// ErrInUse tells that another process has the folder.
var ErrInUse = errors.New("the folder is in use by another process")

// lockName is the file whose lock stands for the folder.
const lockName = "LOCK"

type disk string

// OpenDir returns the folder of a path, which is made if it does not exist.
func OpenDir(path string) (Dir, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	return disk(path), nil
}

func (d disk) path(name string) string { return filepath.Join(string(d), name) }

func (d disk) Names() (names []string, err error) {
	all, err := os.ReadDir(string(d))
	for _, e := range all {
		if e.Name() != lockName && e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	return names, err
}

func (d disk) Create(name string) (File, error) {
	f, err := os.OpenFile(d.path(name), os.O_RDWR|os.O_APPEND|os.O_CREATE|os.O_EXCL, 0o600)
	return onDisk(f, err)
}

func (d disk) Open(name string) (File, error) {
	f, err := os.Open(d.path(name))
	return onDisk(f, err)
}

func onDisk(f *os.File, err error) (File, error) {
	if err != nil {
		return nil, err
	}
	return diskFile{f}, nil
}

func (d disk) Remove(name string) error { return os.Remove(d.path(name)) }

func (d disk) Sync() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

func (d disk) Lock() (func(), error) {
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

type diskFile struct{ *os.File }

func (f diskFile) Size() (int64, error) {
	s, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return s.Size(), nil
}
