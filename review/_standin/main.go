// Command review-standin plays the cases of the review: it starts payout nodes with the command of the deploy file and
// takes the place of client proxies, other clients, worker pools, the announce service and the platform. It uses the
// standard library only.
package main

import (
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	held    = 0
	broken  = 1
	notRun  = 2
	maxTime = 115 * time.Second
)

// stage is what a case needs.
type stage struct {
	root, tmp string
	trouble   bool
	rec       *record
	w         *world
	announce  string
	nodes     []*node
}

func (s *stage) file(name string) string { return filepath.Join(s.tmp, name) }

// start starts a payout node whose processes share the folder tmp.
func (s *stage) start(c config, name, tmp string) (*node, error) {
	path := s.file(name + ".json")
	if err := c.write(path); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(s.file(tmp), 0o700); err != nil {
		return nil, err
	}
	n, err := startNode(s.root, c, path, s.file(tmp), s.file(name+".log"))
	if err == nil {
		s.nodes = append(s.nodes, n)
		s.rec.line("started process=%s pid=%d", name, n.pid())
	}
	return n, err
}

// end ends all processes and appends their logs to the record.
func (s *stage) end() {
	for _, n := range s.nodes {
		n.kill()
		s.rec.line("log of process %d:", n.pid())
		b, _ := os.ReadFile(n.log)
		if len(b) > 20000 {
			b = append(b[:10000:10000], append([]byte("\n[...]\n"), b[len(b)-10000:]...)...)
		}
		s.rec.line("%s", b)
	}
	s.rec.close()
	os.RemoveAll(s.tmp)
}

var cases = map[string]func(s *stage) (int, error){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE ROOT RECORD")
		os.Exit(notRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, root, recordPath string) int {
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	tmp, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	udp, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	s := &stage{root: root, tmp: tmp, trouble: os.Getenv("TROUBLE") != "0", rec: rec, w: newWorld(rec),
		announce: udp.LocalAddr().String()}
	go func() {
		buf, last := make([]byte, 256), ""
		for {
			n, _, err := udp.ReadFrom(buf)
			if err != nil {
				return
			}
			if text := string(buf[:n]); text != last {
				last = text
				rec.line("report %q", text)
			}
		}
	}()
	defer s.end()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	type outcome struct {
		code int
		err  error
	}
	done := make(chan outcome, 1)
	go func() {
		code, err := cases[name](s)
		done <- outcome{code, err}
	}()
	select {
	case o := <-done:
		if o.err != nil {
			rec.say("the case could not run: %v", o.err)
			return notRun
		}
		rec.say("exit %d", o.code)
		return o.code
	case <-stop:
		rec.say("the case was stopped")
	case <-time.After(maxTime):
		rec.say("the case took too long")
	}
	return notRun
}
