package kept

import (
	"bufio"
	"encoding/base64"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"time"

	"github.com/valyala/fastjson"

	"whinrudder/internal/core"
	"whinrudder/internal/journal"
	"whinrudder/internal/ops"
	"whinrudder/internal/storage"
)

// Bounds of the talk with an operator.
const (
	wordMost = 32 << 10 // bytes
	wordFor  = 2000     // milliseconds
	talkMost = 4        // at a time
)

// Resolution is an operator's word on an operation in doubt.
type Resolution struct {
	Key    string
	Kind   journal.Kind // Finished, Failed or NotRun
	Result []byte
	By     string
}

var kinds = map[string]journal.Kind{"finished": journal.Finished, "failed": journal.Failed, "not-run": journal.NotRun}

// KindName names what became of an operation.
func KindName(k journal.Kind) string {
	for n, v := range kinds {
		if v == k {
			return n
		}
	}
	return "intended"
}

// line is a word as one line of JSON.
func (w Resolution) line() []byte {
	var a fastjson.Arena
	o := a.NewObject()
	o.Set("key", a.NewString(w.Key))
	o.Set("how", a.NewString(KindName(w.Kind)))
	o.Set("result", a.NewString(base64.StdEncoding.EncodeToString(w.Result)))
	o.Set("by", a.NewString(w.By))
	return append(o.MarshalTo(nil), '\n')
}

// parseWord reads a line.
func parseWord(b []byte) (w Resolution, err error) {
	v, err := fastjson.ParseBytes(b)
	if err != nil {
		return w, err
	}
	w = Resolution{Key: string(v.GetStringBytes("key")), Kind: kinds[string(v.GetStringBytes("how"))], By: string(v.GetStringBytes("by"))}
	if w.Key == "" || w.Kind == 0 {
		return w, errors.New("want a key, how it ended, and by whom")
	}
	w.Result, err = base64.StdEncoding.DecodeString(string(v.GetStringBytes("result")))
	return w, err
}

// listen takes the word of operators.
func (k *Store) listen(l net.Listener) {
	room := make(chan struct{}, talkMost)
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		room <- struct{}{}
		go func() {
			code := k.talk(c)
			c.Close()
			k.host.Log("conn", "front", "resolve", "code", code)
			<-room
		}()
	}
}

// talk hears one word and answers it.
func (k *Store) talk(c net.Conn) (code string) {
	by := time.Now().Add(wordFor * time.Millisecond)
	c.SetDeadline(by)
	line, err := bufio.NewReaderSize(c, wordMost).ReadSlice('\n')
	if err != nil {
		return "part"
	}
	w, err := parseWord(line)
	if err != nil {
		fmt.Fprintln(c, err)
		return "bad-word"
	}
	told := make(chan error, 1)
	k.host.Send(core.Resolve{Key: w.Key, Kind: w.Kind, Result: w.Result, By: w.By, Done: func(err error) { told <- err }})
	t := time.NewTimer(time.Until(by))
	defer t.Stop()
	select {
	case err = <-told:
	case <-t.C:
		return "late"
	case <-k.over:
		return "end"
	}
	if err != nil {
		fmt.Fprintln(c, err)
		return "refused"
	}
	fmt.Fprintln(c, "ok")
	return "ok"
}

// Resolve gives a word to the node that has a folder, or, if none has, writes it into the journal itself.
func Resolve(path, node string, w Resolution, now float64) error {
	dir, err := storage.OpenDir(path)
	if err != nil {
		return err
	}
	t := ops.New(ops.Limits{Keys: 1 << 30, AgeMs: 1e15, DoubtMs: 1e15})
	j, _, err := journal.Open(dir, journal.Options{Node: node, SegmentBytes: 1 << 20}, t.Recover)
	if errors.Is(err, storage.ErrInUse) {
		return ask(filepath.Join(path, socketName), w, now)
	}
	if err != nil {
		return err
	}
	defer j.Close()
	t.FinishRecovery(now, j.Segments())
	if err := t.Resolve(now, w.Key, w.Kind, w.Result, w.By); err != nil {
		return err
	}
	for _, e := range t.Effects() {
		if e, ok := e.(ops.Write); ok {
			if _, err := j.Append([]journal.Record{e.Record}); err != nil {
				return err
			}
		}
	}
	return nil
}

// ask gives a word to a running node.
func ask(socket string, w Resolution, now float64) error {
	by := time.UnixMicro(int64((now + wordFor) * 1e3))
	d := net.Dialer{Deadline: by}
	c, err := d.Dial("unix", socket)
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(by)
	if _, err := c.Write(w.line()); err != nil {
		return err
	}
	answer, err := bufio.NewReader(c).ReadString('\n')
	if err != nil {
		return fmt.Errorf("the node gave no answer: %w", err)
	}
	if answer != "ok\n" {
		return errors.New(answer[:len(answer)-1])
	}
	return nil
}
