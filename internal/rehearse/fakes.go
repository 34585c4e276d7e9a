package rehearse

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// fakePool is a fake of the worker pool. It does no work: the exchange states what it sends. It answers polls on its
// own, because the node sends them at times of its choice; the exchange answers only fences. Its cores are always
// busy, so that the learned limit does not grow with the duration of an exchange.
type fakePool struct {
	listener  net.Listener
	lines     chan string // lines from the node, without the polls that it answers on its own
	readAhead []string    // lines that the step unordered read and sorted
	mu        sync.Mutex
	conn      net.Conn
	mute      bool      // answers no polls
	polled    chan bool // holds a value if a poll was answered since the last receive
}

func newFakePool() (*fakePool, error) {
	s := &fakePool{lines: make(chan string, 1024), polled: make(chan bool, 1)}
	return s, s.listen()
}

// listen accepts links at a new address and stops accepting at the old one. An open link stays open.
func (s *fakePool) listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	if s.listener != nil {
		s.listener.Close()
	}
	s.listener = l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conn = c
			s.mu.Unlock()
			go s.read(c)
		}
	}()
	return nil
}

// read reads the lines of one link and answers polls, until the link ends.
func (s *fakePool) read(c net.Conn) {
	for r := bufio.NewReader(c); ; {
		line, err := r.ReadString('\n')
		if err != nil {
			c.Close()
			return
		}
		line = strings.TrimSuffix(line, "\n")
		if cookie, ok := strings.CutPrefix(line, `{"msg":"poll","cookie":"`); ok && !strings.HasPrefix(cookie, "fence") {
			s.mu.Lock()
			if !s.mute {
				fmt.Fprintf(c, `{"msg":"polled","cookie":"%s,"stats":[1,1,0.1,4]}`+"\n", strings.TrimSuffix(cookie, "}"))
				select {
				case s.polled <- true:
				default:
				}
			}
			s.mu.Unlock()
			continue
		}
		s.lines <- line
	}
}

func (s *fakePool) write(line string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == nil {
		return fmt.Errorf("the worker pool has no link")
	}
	_, err := fmt.Fprintln(s.conn, line)
	return err
}

// next returns the next line from the node, or "nothing" after stepTimeout.
func (s *fakePool) next() string {
	if len(s.readAhead) > 0 {
		l := s.readAhead[0]
		s.readAhead = s.readAhead[1:]
		return l
	}
	select {
	case l := <-s.lines:
		return l
	case <-time.After(stepTimeout):
		return "nothing"
	}
}

// step carries out a pool step and returns its line for the transcript.
func (s *fakePool) step(line, word, text string) (string, error) {
	switch word {
	case "<":
		return "pool < " + s.next(), nil
	case ">":
		return line, s.write(text)
	case "unordered":
		n, err := strconv.Atoi(text)
		var lines []string
		for range n {
			lines = append(lines, s.next())
		}
		slices.Sort(lines)
		s.readAhead = append(s.readAhead, lines...)
		return line, err
	case "drop":
		// Closes only the sending side, so that the lines sent before arrive; the node closes the other side.
		s.mu.Lock()
		defer s.mu.Unlock()
		return line, s.conn.(*net.TCPConn).CloseWrite()
	case "mute":
		s.mu.Lock()
		defer s.mu.Unlock()
		s.mute = true
		return line, nil
	case "polled":
		for range 2 { // the first may belong to a poll that came before this step
			select {
			case <-s.polled:
			case <-time.After(stepTimeout):
				return "pool polled never", nil
			}
		}
		return line, nil
	case "up":
		bind := s.next()
		if err := s.write(`{"msg":"bound","how":"WARM","duration":5}`); err != nil {
			return "", err
		}
		fence := s.next()
		if bind != `{"msg":"bind","serial":0}` || fence != `{"msg":"poll","cookie":"fence1"}` {
			return "pool up with " + bind + fence, nil
		}
		return line, s.write(`{"msg":"polled","cookie":"fence1","stats":[1,1,0.1,4]}`)
	}
	return "", fmt.Errorf("unknown pool step")
}

func (s *fakePool) close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		s.conn.Close()
	}
}

// fakeAnnounce is a fake of the announce service, which receives load reports.
type fakeAnnounce struct {
	conn       net.PacketConn
	lastReport string // the report that was read last, or ""
}

func newFakeAnnounce() (*fakeAnnounce, error) {
	s := &fakeAnnounce{}
	return s, s.listen()
}

// listen receives reports at a new address and no longer at the old one.
func (s *fakeAnnounce) listen() error {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	if s.conn != nil {
		s.conn.Close()
	}
	s.conn, s.lastReport = c, ""
	return nil
}

// wait reads reports until one equals text or stepTimeout has passed, and returns the last report that was read.
func (s *fakeAnnounce) wait(text string) string {
	buf := make([]byte, 256)
	s.conn.SetReadDeadline(time.Now().Add(stepTimeout))
	for s.lastReport != text {
		n, _, err := s.conn.ReadFrom(buf)
		if err != nil {
			break
		}
		s.lastReport = string(buf[:n])
	}
	return s.lastReport
}
