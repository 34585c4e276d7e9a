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

// poolStandIn is a toy worker pool. It does no work: the exchange says what it tells. Polls are answered by
// itself but for the fences, as they come at times of the node's own; its cores are always busy, so that the module's limit
// does not grow with the time that an exchange takes.
type poolStandIn struct {
	l     net.Listener
	lines chan string
	first []string // lines that were read ahead
	mu    sync.Mutex
	c     net.Conn
	mute  bool
	polls chan bool // an answer to a poll was given
}

func newPoolStandIn() (*poolStandIn, error) {
	s := &poolStandIn{lines: make(chan string, 1024), polls: make(chan bool, 1)}
	return s, s.listen()
}

// listen takes links at a new address, and no more at the old one. An open link goes on.
func (s *poolStandIn) listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	if s.l != nil {
		s.l.Close()
	}
	s.l = l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.c = c
			s.mu.Unlock()
			go s.read(c)
		}
	}()
	return nil
}

func (s *poolStandIn) read(c net.Conn) {
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
				case s.polls <- true:
				default:
				}
			}
			s.mu.Unlock()
			continue
		}
		s.lines <- line
	}
}

func (s *poolStandIn) write(line string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.c == nil {
		return fmt.Errorf("the worker pool has no link")
	}
	_, err := fmt.Fprintln(s.c, line)
	return err
}

func (s *poolStandIn) next() string {
	if len(s.first) > 0 {
		l := s.first[0]
		s.first = s.first[1:]
		return l
	}
	select {
	case l := <-s.lines:
		return l
	case <-time.After(patience):
		return "nothing"
	}
}

func (s *poolStandIn) step(line, word, text string) (string, error) {
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
		s.first = append(s.first, lines...)
		return line, err
	case "drop":
		// Half, so that what was said arrives before the end; the node closes the rest.
		s.mu.Lock()
		defer s.mu.Unlock()
		return line, s.c.(*net.TCPConn).CloseWrite()
	case "mute":
		s.mu.Lock()
		defer s.mu.Unlock()
		s.mute = true
		return line, nil
	case "polled":
		for range 2 { // the first may be of a poll that came before this step
			select {
			case <-s.polls:
			case <-time.After(patience):
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
	return "", fmt.Errorf("unknown step of the pool")
}

func (s *poolStandIn) close() {
	s.l.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.c != nil {
		s.c.Close()
	}
}

// reportStandIn is a toy announce service.
type reportStandIn struct {
	c    net.PacketConn
	last string
}

func newReportStandIn() (*reportStandIn, error) {
	s := &reportStandIn{}
	return s, s.listen()
}

// listen takes reports at a new address, and no more at the old one.
func (s *reportStandIn) listen() error {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	if s.c != nil {
		s.c.Close()
	}
	s.c, s.last = c, ""
	return nil
}

// wait reads reports until one has the text, and returns the last one read.
func (s *reportStandIn) wait(text string) string {
	buf := make([]byte, 256)
	s.c.SetReadDeadline(time.Now().Add(patience))
	for s.last != text {
		n, _, err := s.c.ReadFrom(buf)
		if err != nil {
			break
		}
		s.last = string(buf[:n])
	}
	return s.last
}
