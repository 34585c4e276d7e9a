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

	"whinrudder/internal/clock"
	"whinrudder/internal/core"
	"whinrudder/internal/journal"
	"whinrudder/internal/ops"
	"whinrudder/internal/storage"
)

// Limits of the requests of operators.
const (
	maxRequestBytes  = 32 << 10
	requestTimeoutMs = 2000
	maxOperatorConns = 4
)

// Resolution is an operator's decision about how an operation in doubt has ended.
type Resolution struct {
	Key    string
	Kind   journal.Kind // Finished, Failed or NotRun
	Result []byte       // of Finished
	By     string       // the operator who decided
}

// kindsByName maps the names in requests to kinds.
var kindsByName = map[string]journal.Kind{
	"finished": journal.Finished, "failed": journal.Failed, "not-run": journal.NotRun}

// KindName returns the name of the kind of an operation's end, or "intended".
func KindName(want journal.Kind) string {
	for name, kind := range kindsByName {
		if kind == want {
			return name
		}
	}
	return "intended"
}

// marshalLine returns the resolution as one line of JSON.
func (res Resolution) marshalLine() []byte {
	var a fastjson.Arena
	o := a.NewObject()
	o.Set("key", a.NewString(res.Key))
	o.Set("how", a.NewString(KindName(res.Kind)))
	o.Set("result", a.NewString(base64.StdEncoding.EncodeToString(res.Result)))
	o.Set("by", a.NewString(res.By))
	return append(o.MarshalTo(nil), '\n')
}

// parseResolution parses a line of JSON.
func parseResolution(b []byte) (res Resolution, err error) {
	v, err := fastjson.ParseBytes(b)
	if err != nil {
		return res, err
	}
	res = Resolution{Key: string(v.GetStringBytes("key")), Kind: kindsByName[string(v.GetStringBytes("how"))],
		By: string(v.GetStringBytes("by"))}
	if res.Key == "" || res.Kind == 0 {
		return res, errors.New("a resolution needs a key and one of finished, failed and not-run")
	}
	res.Result, err = base64.StdEncoding.DecodeString(string(v.GetStringBytes("result")))
	return res, err
}

// acceptOperators accepts connections of operators until the listener is closed.
func (s *Store) acceptOperators(listener net.Listener) {
	slots := make(chan struct{}, maxOperatorConns)
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		slots <- struct{}{}
		go func() {
			code := s.serveOperator(conn)
			conn.Close()
			s.host.Log("conn", "front", "resolve", "code", code)
			<-slots
		}()
	}
}

// serveOperator reads one resolution from a connection, hands it to the core and writes the outcome. It returns the
// code for the log.
func (s *Store) serveOperator(conn net.Conn) (code string) {
	deadline := time.Now().Add(requestTimeoutMs * time.Millisecond)
	conn.SetDeadline(deadline)
	line, err := bufio.NewReaderSize(conn, maxRequestBytes).ReadSlice('\n')
	if err != nil {
		return "part"
	}
	res, err := parseResolution(line)
	if err != nil {
		fmt.Fprintln(conn, err)
		return "bad-word"
	}
	outcome := make(chan error, 1)
	s.host.Send(core.Resolve{Key: res.Key, Kind: res.Kind, Result: res.Result, By: res.By,
		Done: func(err error) { outcome <- err }})
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case err = <-outcome:
	case <-timer.C:
		return "late"
	case <-s.stop:
		return "end"
	}
	if err != nil {
		fmt.Fprintln(conn, err)
		return "refused"
	}
	fmt.Fprintln(conn, "ok")
	return "ok"
}

// Resolve resolves an operation in doubt. If a node holds the lock on the directory, the resolution is sent to that
// node; otherwise Resolve writes it to the journal itself. now is in Unix milliseconds.
func Resolve(path, node string, res Resolution, now float64) error {
	dir, err := storage.OpenDir(path)
	if err != nil {
		return err
	}
	table := ops.New(ops.Limits{Keys: 1 << 30, AgeMs: 1e15, DoubtMs: 1e15})
	j, _, err := journal.Open(dir, journal.Options{Node: node, SegmentBytes: 1 << 20}, table.Recover)
	if errors.Is(err, storage.ErrInUse) {
		return resolveAtNode(filepath.Join(path, socketName), res, now)
	}
	if err != nil {
		return err
	}
	defer j.Close()
	table.FinishRecovery(now, j.Segments())
	if err := table.Resolve(now, res.Key, res.Kind, res.Result, res.By); err != nil {
		return err
	}
	for _, effect := range table.Effects() {
		if effect, ok := effect.(ops.Write); ok {
			if _, err := j.Append([]journal.Record{effect.Record}); err != nil {
				return err
			}
		}
	}
	return nil
}

// resolveAtNode sends a resolution to a running node.
func resolveAtNode(socket string, res Resolution, now float64) error {
	deadline := clock.Time(now + requestTimeoutMs)
	dialer := net.Dialer{Deadline: deadline}
	conn, err := dialer.Dial("unix", socket)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(deadline)
	if _, err := conn.Write(res.marshalLine()); err != nil {
		return err
	}
	answer, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return fmt.Errorf("no answer from the node: %w", err)
	}
	if answer != "ok\n" {
		return errors.New(answer[:len(answer)-1])
	}
	return nil
}
