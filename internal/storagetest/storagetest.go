// Package storagetest is a stand-in for a disk, in memory: a storage.Dir that fails, tears and forgets. Each operation has
// a number; a Fault says what becomes of it. A crash keeps what was synced, and of the rest what chance leaves, in sectors
// and in any order, as a disk with a cache may.
package storagetest

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math/rand/v2"
	"slices"
	"sync"

	"whinrudder/internal/storage"
)

// sector is the unit that is written whole or not at all, in bytes.
const sector = 512

// Fault is what becomes of an operation.
type Fault uint8

// The faults.
const (
	None  Fault = iota
	Fail        // it returns an error; of a write, half was done
	Full        // as Fail, with the error of a full disk
	Crash       // it is not done, and all that follows fails until Reboot
)

// Errors of faults.
var (
	ErrInjected = errors.New("storagetest: fault")
	ErrFull     = errors.New("storagetest: no space left on device")
	ErrCrash    = errors.New("storagetest: crashed")
)

// Op is an operation: its number from 1, its word (create, open, remove, write, sync, syncdir) and the name.
type Op struct {
	Number     int
	Kind, Name string
}

// Dir is the stand-in. It is safe for concurrent use.
type Dir struct {
	mu      sync.Mutex
	rng     *rand.Rand
	faults  func(Op) Fault
	n       int
	crashed bool
	held    bool
	files   map[string]*content // as the program sees them
	lasting map[string]*content // names that outlive a crash
	size    int64               // most bytes in all; 0: any
}

// content is what a file holds: what outlives a crash, and what was written since.
type content struct {
	data   []byte
	synced int
	failed bool // a sync failed: later ones succeed and save nothing, as disks' caches do
}

// New returns an empty folder whose crashes go by a seed.
func New(seed uint64) *Dir {
	return &Dir{rng: rand.New(rand.NewPCG(seed, 7)), files: map[string]*content{}, lasting: map[string]*content{}}
}

// Clone returns a folder that holds the same, all of it synced.
func (f *Dir) Clone(seed uint64) *Dir {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := New(seed)
	for n, c := range f.files {
		out.files[n] = &content{data: slices.Clone(c.data), synced: len(c.data)}
		out.lasting[n] = out.files[n]
	}
	return out
}

// SetFaults sets what decides on faults; nil: none.
func (f *Dir) SetFaults(faults func(Op) Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// SetCapacity sets how many bytes fit in all.
func (f *Dir) SetCapacity(bytes int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.size = bytes
}

// OpCount returns how many operations there were.
func (f *Dir) OpCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.n
}

// Bytes returns how much all files hold.
func (f *Dir) Bytes() (n int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.bytes()
}

func (f *Dir) bytes() (n int64) {
	for _, c := range f.files {
		n += int64(len(c.data))
	}
	return n
}

// FlipBit changes a bit of a file.
func (f *Dir) FlipBit(name string, at int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.files[name].data[at] ^= 1 << (at % 8)
}

// Read returns what a file holds.
func (f *Dir) Read(name string) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.files[name].data)
}

// Reboot ends the program's hold on the folder and leaves what outlives a crash.
func (f *Dir) Reboot() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashed, f.held = false, false
	names := map[string]*content{}
	for _, n := range keysOf(f.files, f.lasting) {
		now, last := f.files[n], f.lasting[n]
		c := now
		if now != last && f.rng.IntN(2) == 0 {
			c = last // the name was not synced
		}
		if c == nil {
			continue
		}
		data := slices.Clone(c.data[:c.synced])
		if rest := c.data[c.synced:]; len(rest) > 0 {
			for at := 0; at < len(rest); {
				end := min(len(rest), at+sector-(c.synced+at)%sector)
				switch f.rng.IntN(3) {
				case 0: // not written, and the file may be longer all the same
					data = append(data, make([]byte, end-at)...)
				case 1:
					data = append(data, rest[at:end]...)
				default: // it ends here
					at = len(rest)
					continue
				}
				at = end
			}
		}
		names[n] = &content{data: data, synced: len(data)}
	}
	f.files = names
	f.lasting = map[string]*content{}
	for n, c := range names {
		f.lasting[n] = c
	}
}

func keysOf(a, b map[string]*content) (out []string) {
	for n := range a {
		out = append(out, n)
	}
	for n := range b {
		if a[n] == nil {
			out = append(out, n)
		}
	}
	slices.Sort(out) // chance must go by the seed alone
	return out
}

// op counts an operation and returns the error that it ends with.
func (f *Dir) op(word, name string) error {
	if f.crashed {
		return ErrCrash
	}
	f.n++
	if f.faults == nil {
		return nil
	}
	switch f.faults(Op{f.n, word, name}) {
	case Fail:
		return ErrInjected
	case Full:
		return ErrFull
	case Crash:
		f.crashed = true
		return ErrCrash
	}
	return nil
}

// Names implements storage.Dir.
func (f *Dir) Names() ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.crashed {
		return nil, ErrCrash
	}
	return keysOf(f.files, nil), nil
}

// Create implements storage.Dir.
func (f *Dir) Create(name string) (storage.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.op("create", name); err != nil {
		return nil, err
	}
	if f.files[name] != nil {
		return nil, fs.ErrExist
	}
	f.files[name] = &content{}
	return &file{f, name, f.files[name]}, nil
}

// Open implements storage.Dir.
func (f *Dir) Open(name string) (storage.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.op("open", name); err != nil {
		return nil, err
	}
	if f.files[name] == nil {
		return nil, fs.ErrNotExist
	}
	return &file{f, name, f.files[name]}, nil
}

// Remove implements storage.Dir.
func (f *Dir) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.op("remove", name); err != nil {
		return err
	}
	delete(f.files, name)
	return nil
}

// Sync implements storage.Dir.
func (f *Dir) Sync() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.op("syncdir", ""); err != nil {
		return err
	}
	f.lasting = map[string]*content{}
	for n, c := range f.files {
		f.lasting[n] = c
	}
	return nil
}

// Lock implements storage.Dir.
func (f *Dir) Lock() (func(), error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.held {
		return nil, storage.ErrInUse
	}
	f.held = true
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.held = false
	}, nil
}

type file struct {
	of   *Dir
	name string
	*content
}

func (f *file) Write(p []byte) (int, error) {
	f.of.mu.Lock()
	defer f.of.mu.Unlock()
	err := f.of.op("write", f.name)
	if room := f.of.size - f.of.bytes(); err == nil && f.of.size > 0 && room < int64(len(p)) {
		f.data = append(f.data, p[:max(0, room)]...)
		return int(max(0, room)), ErrFull
	}
	switch err {
	case nil:
		f.data = append(f.data, p...)
		return len(p), nil
	case ErrCrash:
		if f.of.n%2 == 0 { // the last write may be on its way
			f.data = append(f.data, p...)
		}
		return 0, err
	}
	f.data = append(f.data, p[:len(p)/2]...)
	return len(p) / 2, err
}

func (f *file) Sync() error {
	f.of.mu.Lock()
	defer f.of.mu.Unlock()
	if err := f.of.op("sync", f.name); err != nil {
		f.failed = true
		return err
	}
	if !f.failed {
		f.synced = len(f.data)
	}
	return nil
}

func (f *file) ReadAt(p []byte, at int64) (int, error) {
	f.of.mu.Lock()
	defer f.of.mu.Unlock()
	if f.of.crashed {
		return 0, ErrCrash
	}
	if at >= int64(len(f.data)) {
		return 0, io.EOF
	}
	n := copy(p, f.data[at:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

func (f *file) Size() (int64, error) {
	f.of.mu.Lock()
	defer f.of.mu.Unlock()
	if f.of.crashed {
		return 0, ErrCrash
	}
	return int64(len(f.data)), nil
}

func (f *file) Close() error { return nil }

// String names an operation.
func (o Op) String() string { return fmt.Sprintf("%d %s %s", o.Number, o.Kind, o.Name) }
