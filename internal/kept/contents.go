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

// Contents is the content of a directory with a journal. It is read without the directory's lock, so a node may run on
// it meanwhile.
type Contents struct {
	Summary    journal.Summary
	Damage     []journal.Damage
	Operations []ops.Operation
	dir        storage.Dir
}

// ReadContents reads the directory at path.
func ReadContents(path string) (*Contents, error) {
	dir, err := storage.OpenDir(path)
	if err != nil {
		return nil, err
	}
	table := ops.New(ops.Limits{AgeMs: 1e15, DoubtMs: 1e15})
	summary, damage, err := journal.Verify(dir, table.Recover)
	if err == nil && summary.Segments == 0 {
		err = fmt.Errorf("%s holds no journal", path)
	}
	if err != nil {
		return nil, err
	}
	return &Contents{summary, damage, table.Operations(), dir}, nil
}

// Result reads the result of an operation. The operation must be finished.
func (c *Contents) Result(op ops.Operation) ([]byte, error) {
	record, err := journal.Read(c.dir, op.Position)
	return record.Result, err
}

// stateName returns the name of an operation's state. For an operation that has ended, it says how.
func stateName(op ops.Operation) string {
	if op.State == ops.Done {
		return KindName(op.End)
	}
	return op.State.String()
}

// formatTime formats a time in Unix milliseconds.
func formatTime(ms float64) string { return time.UnixMilli(int64(ms)).UTC().Format(time.RFC3339) }

// List writes a line for each operation. If stateFilter is not empty, it writes only the operations in that state.
func (c *Contents) List(w io.Writer, stateFilter string) {
	for _, op := range c.Operations {
		if stateFilter == "" || stateFilter == stateName(op) {
			fmt.Fprintf(w, "%-9s %s %s run=%s\n", stateName(op), formatTime(op.At), op.Key, op.Run)
		}
	}
}

// Export writes all operations with their results as JSON, one object per line.
func (c *Contents) Export(w io.Writer) error {
	var a fastjson.Arena
	for _, op := range c.Operations {
		a.Reset()
		o := a.NewObject()
		o.Set("key", a.NewString(op.Key))
		o.Set("state", a.NewString(stateName(op)))
		o.Set("run", a.NewString(op.Run))
		o.Set("at", a.NewNumberFloat64(op.At))
		if op.ResolvedBy != "" {
			o.Set("by", a.NewString(op.ResolvedBy))
		}
		if op.State == ops.Done && op.End == journal.Finished {
			result, err := c.Result(op)
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

// Show writes the operation with a key.
func (c *Contents) Show(w io.Writer, key string) error {
	for _, op := range c.Operations {
		if op.Key != key {
			continue
		}
		fmt.Fprintf(w, "key %s\nstate %s\nat %s\nrun %s\n", op.Key, stateName(op), formatTime(op.At), op.Run)
		if op.ResolvedBy != "" {
			fmt.Fprintf(w, "by %s\n", op.ResolvedBy)
		}
		if op.State != ops.Done || op.End != journal.Finished {
			return nil
		}
		result, err := c.Result(op)
		if err == nil {
			_, err = fmt.Fprintf(w, "result %q\n", result)
		}
		return err
	}
	return fmt.Errorf("%q is not kept", key)
}

// Verify writes a summary of the journal and a line for each damage. It returns an error if there is any damage.
func (c *Contents) Verify(w io.Writer) error {
	summary := c.Summary
	inDoubt := 0
	for _, op := range c.Operations {
		if op.State == ops.InDoubt {
			inDoubt++
		}
	}
	fmt.Fprintf(w, "node %s, version %d, %d segments, %d bytes, %d records, %d operations, %d without an end\n", summary.Node,
		summary.Version, summary.Segments, summary.Bytes, summary.Records, len(c.Operations), inDoubt)
	for _, d := range c.Damage {
		fmt.Fprintln(w, d.Error())
	}
	if len(c.Damage) > 0 {
		return fmt.Errorf("%w at %d positions", journal.ErrDamaged, len(c.Damage))
	}
	return nil
}
