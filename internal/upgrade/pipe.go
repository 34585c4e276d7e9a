package upgrade

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"whinrudder/internal/handover"
)

// mostFiles bounds the descriptors that come with one read, and those that no frame has named yet.
const mostFiles = 16

// errFiles is a frame that names more descriptors than came.
var errFiles = errors.New("descriptors are missing")

// pipe is the connection between two processes.
type pipe struct {
	c     *net.UnixConn
	buf   []byte
	oob   []byte
	files []*os.File // that came and that no frame has named yet

	mu sync.Mutex // of writes
}

func newPipe(c *net.UnixConn) *pipe {
	return &pipe{c: c, buf: make([]byte, 32<<10), oob: make([]byte, syscall.CmsgSpace(4*mostFiles))}
}

func (p *pipe) close() { p.c.Close() }

// drop closes what came and was not named.
func (p *pipe) drop() {
	for _, f := range p.files {
		f.Close()
	}
	p.files = nil
}

// lookFor is how long a read takes at least, in milliseconds: after a stall of this process its time is over, and what the
// other said meanwhile waits.
const lookFor = 5

// read reads until an absolute time. A time that is over is no error: it returns nothing. What came by the time that it
// returns is not left unread.
func (p *pipe) read(by float64) (b []byte, looked float64, err error) {
	looked = now()
	p.c.SetReadDeadline(at(max(by, looked+lookFor)))
	n, oobn, _, _, err := p.c.ReadMsgUnix(p.buf, p.oob)
	if oobn > 0 {
		if err := p.take(p.oob[:oobn]); err != nil {
			return nil, looked, err
		}
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, looked, nil
	case err != nil:
		return nil, looked, err
	case n == 0:
		return nil, looked, io.EOF
	}
	return p.buf[:n], looked, nil
}

func (p *pipe) take(oob []byte) error {
	messages, err := syscall.ParseSocketControlMessage(oob)
	if err != nil {
		return err
	}
	for _, m := range messages {
		fds, err := syscall.ParseUnixRights(&m)
		if err != nil {
			return err
		}
		for _, fd := range fds {
			p.files = append(p.files, os.NewFile(uintptr(fd), "handed"))
		}
	}
	if len(p.files) > 4*mostFiles {
		return errors.New("too many descriptors that no frame names")
	}
	return nil
}

// next returns the next descriptor that came.
func (p *pipe) next() (*os.File, error) {
	if len(p.files) == 0 {
		return nil, errFiles
	}
	f := p.files[0]
	p.files = p.files[1:]
	return f, nil
}

// write writes messages, with the descriptors that they name, by an absolute time.
func (p *pipe) write(all []handover.Message, by float64, listeners func() map[string]*net.TCPListener) error {
	p.c.SetWriteDeadline(at(by))
	for _, m := range all {
		var some []syscall.Conn
		for _, name := range m.Fronts {
			l := listeners()[name]
			if l == nil {
				return errFiles
			}
			some = append(some, l)
		}
		if c, ok := m.Conn.(*net.TCPConn); ok {
			some = append(some, c)
		}
		if err := p.send(m.Bytes, some, nil); err != nil {
			return err
		}
	}
	return nil
}

// send writes bytes with the descriptors of some sockets. Each is held open by its own Control while it is passed.
func (p *pipe) send(b []byte, some []syscall.Conn, fds []int) error {
	if len(some) > 0 {
		raw, err := some[0].SyscallConn()
		if err != nil {
			return err
		}
		var inner error
		err = raw.Control(func(fd uintptr) { inner = p.send(b, some[1:], append(fds, int(fd))) })
		return errors.Join(err, inner)
	}
	if len(fds) > 0 {
		n, _, err := p.c.WriteMsgUnix(b, syscall.UnixRights(fds...), nil)
		if err != nil {
			return err
		}
		b = b[n:]
	}
	if len(b) == 0 {
		return nil
	}
	_, err := p.c.Write(b)
	return err
}
