package storage

import (
	"errors"
	"io/fs"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// A directory on disk returns what was written to it, refuses a second lock, and does not list its lock file among its
// names.
func TestDirOnDisk(t *testing.T) {
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
		t.Errorf("second Lock: got error %v, want %v", err, ErrInUse)
	}
	f, err := d.Create("a")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := d.Create("a"); !errors.Is(err, fs.ErrExist) {
		t.Errorf("second Create of a file: got error %v, want %v", err, fs.ErrExist)
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
	if size, sizeErr := f.Size(); string(b) != "two" || size != 6 || errors.Join(err, sizeErr, f.Close()) != nil {
		t.Errorf("got %q at offset 3 of %d bytes (errors %v, %v), want %q of 6 bytes", b, size, err, sizeErr, "two")
	}
	names, err := d.Names()
	if diff := cmp.Diff([]string{"a"}, names); diff != "" || err != nil {
		t.Errorf("names (-want +got): %s, error %v", diff, err)
	}
	if err := d.Remove("a"); err != nil {
		t.Error(err)
	}
	release()
	if _, err := other.Lock(); err != nil {
		t.Errorf("Lock after the first holder released it: %v", err)
	}
}
