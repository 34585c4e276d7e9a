package kept

import (
	"encoding/base64"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fastjson"

	"whinrudder/internal/journal"
	"whinrudder/internal/ops"
	"whinrudder/internal/storage"
)

// Contents is what a folder holds, read without taking it: a node may run on it.
type Contents struct {
	Summary    journal.Summary
	Damage     []journal.Damage
	Operations []ops.Operation
	dir        storage.Dir
}

// ReadContents reads a folder.
func ReadContents(path string) (*Contents, error) {
	dir, err := storage.OpenDir(path)
	if err != nil {
		return nil, err
	}
	t := ops.New(ops.Limits{AgeMs: 1e15, DoubtMs: 1e15})
	found, damage, err := journal.Verify(dir, t.Recover)
	if err == nil && found.Segments == 0 {
		err = fmt.Errorf("%s holds no journal", path)
	}
	if err != nil {
		return nil, err
	}
	return &Contents{found, damage, t.Operations(), dir}, nil
}

// Result returns the result of an operation that has one.
func (l *Contents) Result(i ops.Operation) ([]byte, error) {
	r, err := journal.Read(l.dir, i.Position)
	return r.Result, err
}

// state is how an operation stands, as one word.
func state(i ops.Operation) string {
	if i.State == ops.Done {
		return KindName(i.End)
	}
	return i.State.String()
}

func stamp(ms float64) string { return time.UnixMilli(int64(ms)).UTC().Format(time.RFC3339) }

// List writes a line for each operation; only those of a state, if one is given.
func (l *Contents) List(w io.Writer, only string) {
	for _, i := range l.Operations {
		if only == "" || only == state(i) {
			fmt.Fprintf(w, "%-9s %s %s run=%s\n", state(i), stamp(i.At), i.Key, i.Run)
		}
	}
}

// Export writes all operations as JSON, one a line, with their results.
func (l *Contents) Export(w io.Writer) error {
	var a fastjson.Arena
	for _, i := range l.Operations {
		a.Reset()
		o := a.NewObject()
		o.Set("key", a.NewString(i.Key))
		o.Set("state", a.NewString(state(i)))
		o.Set("run", a.NewString(i.Run))
		o.Set("at", a.NewNumberFloat64(i.At))
		if i.ResolvedBy != "" {
			o.Set("by", a.NewString(i.ResolvedBy))
		}
		if i.State == ops.Done && i.End == journal.Finished {
			result, err := l.Result(i)
			if err != nil {
				return err
			}
			o.Set("result", a.NewString(base64.StdEncoding.EncodeToString(result)))
		}
		if _, err := w.Write(append(o.MarshalTo(nil), '\n')); err != nil {
			return err
		}
	}
	return nil
}

// Show writes one operation.
func (l *Contents) Show(w io.Writer, key string) error {
	for _, i := range l.Operations {
		if i.Key != key {
			continue
		}
		fmt.Fprintf(w, "key %s\nstate %s\nat %s\nrun %s\n", i.Key, state(i), stamp(i.At), i.Run)
		if i.ResolvedBy != "" {
			fmt.Fprintf(w, "by %s\n", i.ResolvedBy)
		}
		if i.State != ops.Done || i.End != journal.Finished {
			return nil
		}
		result, err := l.Result(i)
		if err == nil {
			_, err = fmt.Fprintf(w, "result %q\n", result)
		}
		return err
	}
	return fmt.Errorf("%q is not kept", key)
}

// Verify writes what the folder holds and all that is wrong with it. The error tells that something is.
func (l *Contents) Verify(w io.Writer) error {
	f := l.Summary
	doubts := 0
	for _, i := range l.Operations {
		if i.State == ops.InDoubt {
			doubts++
		}
	}
	fmt.Fprintf(w, "node %s, version %d, %d segments, %d bytes, %d records, %d operations, %d without an end\n", f.Node, f.Version,
		f.Segments, f.Bytes, f.Records, len(l.Operations), doubts)
	for _, d := range l.Damage {
		fmt.Fprintln(w, d.Error())
	}
	if len(l.Damage) > 0 {
		return fmt.Errorf("%w: %d places", journal.ErrDamaged, len(l.Damage))
	}
	return nil
}
