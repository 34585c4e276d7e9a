// Package storagetest has a fake storage.Dir in memory that injects faults: errors, a full disk, torn writes and
// crashes. Operations are numbered, and a caller-supplied function selects the Fault of each. A crash keeps synced
// data; of the rest, a random choice of whole sectors survives, in any order, as on a disk with a write cache.
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

// sectorBytes is the unit that is written either completely or not at all.
const sectorBytes = 512

// Fault is the fault injected into an operation.
type Fault uint8

// The faults.
const (
	None  Fault = iota
	Fail        // the operation returns ErrInjected; a write has then written half of its data
	Full        // as Fail, but with ErrFull
	Crash       // the operation and all later ones fail with ErrCrash until Reboot
)

// Errors returned by operations with a fault.
var (
	ErrInjected = errors.New("storagetest: injected fault")
	ErrFull     = errors.New("storagetest: no space left on device")
	ErrCrash    = errors.New("storagetest: crashed")
)

// Op describes an operation. Kind is create, open, remove, write, sync or syncdir; Name is the file's, empty for
// syncdir.
type Op struct {
	Number     int // counts from 1
	Kind, Name string
}

// Dir is a fake storage.Dir. It is safe for concurrent use.
type Dir struct {
	mu          sync.Mutex
	rng         *rand.Rand
	faults      func(Op) Fault // nil: no faults
	opCount     int            // operations so far
	crashed     bool
	held        bool                // the lock is taken
	files       map[string]*content // the names that the program sees
	syncedFiles map[string]*content // the names as of the last Sync of the directory
	capacity    int64               // total bytes that fit; 0: no bound
}

// content is the content of a file.
type content struct {
	data       []byte
	synced     int  // length of the prefix of data that survives a crash
	syncFailed bool // a Sync failed; later ones succeed without making data durable, as with a real page cache
}

// New returns an empty directory. The seed determines what survives its crashes.
func New(seed uint64) *Dir {
	return &Dir{rng: rand.New(rand.NewPCG(seed, 7)), files: map[string]*content{}, syncedFiles: map[string]*content{}}
}

// Clone returns a directory with the same files, all of them synced.
func (d *Dir) Clone(seed uint64) *Dir {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := New(seed)
	for n, c := range d.files {
		out.files[n] = &content{data: slices.Clone(c.data), synced: len(c.data)}
		out.syncedFiles[n] = out.files[n]
	}
	return out
}

// SetFaults sets the function that selects the fault of each operation; nil turns faults off.
func (d *Dir) SetFaults(faults func(Op) Fault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = faults
}

// SetCapacity limits the total size of all files; 0 removes the limit.
func (d *Dir) SetCapacity(bytes int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.capacity = bytes
}

// OpCount returns the number of operations so far.
func (d *Dir) OpCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.opCount
}

// Bytes returns the total size of all files.
func (d *Dir) Bytes() (n int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.bytes()
}

func (d *Dir) bytes() (n int64) {
	for _, c := range d.files {
		n += int64(len(c.data))
	}
	return n
}

// FlipBit flips one bit of the byte at an offset of a file.
func (d *Dir) FlipBit(name string, offset int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files[name].data[offset] ^= 1 << (offset % 8)
}

// Read returns a copy of a file's content.
func (d *Dir) Read(name string) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.files[name].data)
}

// Reboot releases the lock and leaves only what survives a crash: synced data, and random parts of the rest.
func (d *Dir) Reboot() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crashed, d.held = false, false
	names := map[string]*content{}
	for _, n := range sortedNames(d.files, d.syncedFiles) {
		current, synced := d.files[n], d.syncedFiles[n]
		c := current
		if current != synced && d.rng.IntN(2) == 0 {
			c = synced // the change of the name was not synced and is lost
		}
		if c == nil {
			continue
		}
		data := slices.Clone(c.data[:c.synced])
		if rest := c.data[c.synced:]; len(rest) > 0 {
			for at := 0; at < len(rest); {
				end := min(len(rest), at+sectorBytes-(c.synced+at)%sectorBytes)
				switch d.rng.IntN(3) {
				case 0: // the sector was not written, but the file has grown over it
					data = append(data, make([]byte, end-at)...)
				case 1:
					data = append(data, rest[at:end]...)
				default: // the file ends here
					at = len(rest)
					continue
				}
				at = end
			}
		}
		names[n] = &content{data: data, synced: len(data)}
	}
	d.files = names
	d.syncedFiles = map[string]*content{}
	for n, c := range names {
		d.syncedFiles[n] = c
	}
}

// sortedNames returns the names that are in a or b.
func sortedNames(a, b map[string]*content) (out []string) {
	for n := range a {
		out = append(out, n)
	}
	for n := range b {
		if a[n] == nil {
			out = append(out, n)
		}
	}
	slices.Sort(out) // so that random draws depend on the seed alone, not on map order
	return out
}

// op counts an operation and returns the error of its fault, if any.
func (d *Dir) op(kind, name string) error {
	if d.crashed {
		return ErrCrash
	}
	d.opCount++
	if d.faults == nil {
		return nil
	}
	switch d.faults(Op{d.opCount, kind, name}) {
	case Fail:
		return ErrInjected
	case Full:
		return ErrFull
	case Crash:
		d.crashed = true
		return ErrCrash
	}
	return nil
}

// Names implements storage.Dir.
func (d *Dir) Names() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.crashed {
		return nil, ErrCrash
	}
	return sortedNames(d.files, nil), nil
}

// Create implements storage.Dir.
func (d *Dir) Create(name string) (storage.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.op("create", name); err != nil {
		return nil, err
	}
	if d.files[name] != nil {
		return nil, fs.ErrExist
	}
	d.files[name] = &content{}
	return &file{d, name, d.files[name]}, nil
}

// Open implements storage.Dir.
func (d *Dir) Open(name string) (storage.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.op("open", name); err != nil {
		return nil, err
	}
	if d.files[name] == nil {
		return nil, fs.ErrNotExist
	}
	return &file{d, name, d.files[name]}, nil
}

// Remove implements storage.Dir.
func (d *Dir) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.op("remove", name); err != nil {
		return err
	}
	delete(d.files, name)
	return nil
}

// Sync implements storage.Dir.
func (d *Dir) Sync() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.op("syncdir", ""); err != nil {
		return err
	}
	d.syncedFiles = map[string]*content{}
	for n, c := range d.files {
		d.syncedFiles[n] = c
	}
	return nil
}

// Lock implements storage.Dir.
func (d *Dir) Lock() (func(), error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.held {
		return nil, storage.ErrInUse
	}
	d.held = true
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.held = false
	}, nil
}

// file is an open storage.File.
type file struct {
	dir  *Dir
	name string
	*content
}

func (f *file) Write(p []byte) (int, error) {
	f.dir.mu.Lock()
	defer f.dir.mu.Unlock()
	err := f.dir.op("write", f.name)
	if room := f.dir.capacity - f.dir.bytes(); err == nil && f.dir.capacity > 0 && room < int64(len(p)) {
		f.data = append(f.data, p[:max(0, room)]...)
		return int(max(0, room)), ErrFull
	}
	switch err {
	case nil:
		f.data = append(f.data, p...)
		return len(p), nil
	case ErrCrash:
		if f.dir.opCount%2 == 0 { // every second time, the interrupted write has reached the cache
			f.data = append(f.data, p...)
		}
		return 0, err
	}
	f.data = append(f.data, p[:len(p)/2]...)
	return len(p) / 2, err
}

func (f *file) Sync() error {
	f.dir.mu.Lock()
	defer f.dir.mu.Unlock()
	if err := f.dir.op("sync", f.name); err != nil {
		f.syncFailed = true
		return err
	}
	if !f.syncFailed {
		f.synced = len(f.data)
	}
	return nil
}

func (f *file) ReadAt(p []byte, offset int64) (int, error) {
	f.dir.mu.Lock()
	defer f.dir.mu.Unlock()
	if f.dir.crashed {
		return 0, ErrCrash
	}
	if offset >= int64(len(f.data)) {
		return 0, io.EOF
	}
	n := copy(p, f.data[offset:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

func (f *file) Size() (int64, error) {
	f.dir.mu.Lock()
	defer f.dir.mu.Unlock()
	if f.dir.crashed {
		return 0, ErrCrash
	}
	return int64(len(f.data)), nil
}

func (f *file) Close() error { return nil }

// String describes an operation.
func (o Op) String() string { return fmt.Sprintf("%d %s %s", o.Number, o.Kind, o.Name) }
