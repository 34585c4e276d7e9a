package upgrade

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"whinrudder/internal/clock"
	"whinrudder/internal/handover"
)

// maxDescriptors limits the descriptors of one read. Four times as many may wait for a frame that names them.
const maxDescriptors = 16

// errMissingDescriptors means that a frame names descriptors that did not arrive or cannot be sent.
var errMissingDescriptors = errors.New("a frame names descriptors that are missing")

// fdConn is a Unix socket connection between two processes that also passes descriptors.
type fdConn struct {
	c     *net.UnixConn
	buf   []byte
	oob   []byte     // control messages of a read
	files []*os.File // received descriptors that no frame has named yet

	mu sync.Mutex // serializes writes
}

func newFDConn(c *net.UnixConn) *fdConn {
	return &fdConn{c: c, buf: make([]byte, 32<<10), oob: make([]byte, syscall.CmsgSpace(4*maxDescriptors))}
}

func (f *fdConn) close() { f.c.Close() }

// closeFiles closes the received descriptors that no frame has named.
func (f *fdConn) closeFiles() {
	for _, file := range f.files {
		file.Close()
	}
	f.files = nil
}

// minReadMs is the minimum time that a read waits for data, in milliseconds. After a stall of this process the deadline
// of the read has passed, although data that the other process sent meanwhile is waiting.
const minReadMs = 5

// read reads once, until an absolute time at the latest. Reaching that time is not an error: read then returns no
// bytes. If it returns no bytes, nothing that arrived before readUntil is left unread.
func (f *fdConn) read(by float64) (b []byte, readUntil float64, err error) {
	readUntil = clock.Now()
	f.c.SetReadDeadline(clock.Time(max(by, readUntil+minReadMs)))
	n, oobn, _, _, err := f.c.ReadMsgUnix(f.buf, f.oob)
	if oobn > 0 {
		if err := f.addFiles(f.oob[:oobn]); err != nil {
			return nil, readUntil, err
		}
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, readUntil, nil
	case err != nil:
		return nil, readUntil, err
	case n == 0:
		return nil, readUntil, io.EOF
	}
	return f.buf[:n], readUntil, nil
}

// addFiles adds the descriptors of control messages to the received ones.
func (f *fdConn) addFiles(oob []byte) error {
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
			f.files = append(f.files, os.NewFile(uintptr(fd), "handed"))
		}
	}
	if len(f.files) > 4*maxDescriptors {
		return errors.New("too many descriptors arrived without a frame that names them")
	}
	return nil
}

// nextFile removes and returns the first received descriptor.
func (f *fdConn) nextFile() (*os.File, error) {
	if len(f.files) == 0 {
		return nil, errMissingDescriptors
	}
	file := f.files[0]
	f.files = f.files[1:]
	return file, nil
}

// write writes messages, with the descriptors that they name, until an absolute time at the latest.
func (f *fdConn) write(messages []handover.Message, by float64, listeners func() map[string]*net.TCPListener) error {
	f.c.SetWriteDeadline(clock.Time(by))
	for _, m := range messages {
		var sockets []syscall.Conn
		for _, name := range m.Fronts {
			l := listeners()[name]
			if l == nil {
				return errMissingDescriptors
			}
			sockets = append(sockets, l)
		}
		if c, ok := m.Conn.(*net.TCPConn); ok {
			sockets = append(sockets, c)
		}
		if err := f.send(m.Bytes, sockets, nil); err != nil {
			return err
		}
	}
	return nil
}

// send writes bytes with the descriptors of sockets. The Control call of each socket keeps it open while it is passed.
// fds are the descriptors of the sockets that are held already.
func (f *fdConn) send(b []byte, sockets []syscall.Conn, fds []int) error {
	if len(sockets) > 0 {
		raw, err := sockets[0].SyscallConn()
		if err != nil {
			return err
		}
		var sendErr error
		err = raw.Control(func(fd uintptr) { sendErr = f.send(b, sockets[1:], append(fds, int(fd))) })
		return errors.Join(err, sendErr)
	}
	if len(fds) > 0 {
		n, _, err := f.c.WriteMsgUnix(b, syscall.UnixRights(fds...), nil)
		if err != nil {
			return err
		}
		b = b[n:]
	}
	if len(b) == 0 {
		return nil
	}
	_, err := f.c.Write(b)
	return err
}
