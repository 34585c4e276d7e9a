package storage

import (
	"errors"
	"io/fs"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// A folder on the disk keeps what was written, refuses a second holder, and takes no file for its own that is none.
func TestOnDisk(t *testing.T) {
	path := t.TempDir()
	d, err := OpenDir(path)
	if err != nil {
		t.Fatal(err)
	}
	release, err := d.Lock()
	if err != nil {
		t.Fatal(err)
	}
	other, err := OpenDir(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := other.Lock(); !errors.Is(err, ErrInUse) {
		t.Errorf("a second holder: %v", err)
	}
	f, err := d.Create("a")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := d.Create("a"); !errors.Is(err, fs.ErrExist) {
		t.Errorf("made twice: %v", err)
	}
	for _, s := range []string{"one", "two"} {
		if _, err := f.Write([]byte(s)); err != nil {
			t.Fatal(err)
		}
	}
	if err := errors.Join(f.Sync(), f.Close(), d.Sync()); err != nil {
		t.Fatal(err)
	}
	if f, err = d.Open("a"); err != nil {
		t.Fatal(err)
	}
	b := make([]byte, 3)
	_, err = f.ReadAt(b, 3)
	if size, err2 := f.Size(); string(b) != "two" || size != 6 || errors.Join(err, err2, f.Close()) != nil {
		t.Errorf("%q of %d bytes, %v, %v", b, size, err, err2)
	}
	names, err := d.Names()
	if diff := cmp.Diff([]string{"a"}, names); diff != "" || err != nil {
		t.Error(diff, err)
	}
	if err := d.Remove("a"); err != nil {
		t.Error(err)
	}
	release()
	if _, err := other.Lock(); err != nil {
		t.Errorf("after the first has let go: %v", err)
	}
}
