package acceptdrain

import (
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
	"golang.org/x/sys/unix"
)

// listen returns a listener on a free local port.
func listen(t *testing.T) *Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return New(l.(*net.TCPListener))
}

// dial connects to a listener and sends a text.
func dial(t *testing.T, l net.Listener, text string) net.Conn {
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if _, err := c.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	return c
}

// All connections that are pending when the drain starts are accepted and answered. The queue fills because the
// accepting goroutine is slow. A caller that has closed its connection by then does not block the drain.
func TestDrainAcceptsPendingConns(t *testing.T) {
	defer goleak.VerifyNone(t)
	l := listen(t)
	first := dial(t, l, "first")
	var callers []net.Conn
	drained := make(chan error, 1)
	n := 0
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		if n++; n == 1 { // the accepting goroutine is slow: the accept queue fills
			for i := range 20 {
				callers = append(callers, dial(t, l, fmt.Sprintf("%05d", i)))
			}
			dial(t, l, "gone!").Close()
			go func() { drained <- l.Drain(time.Now().Add(20 * time.Second)) }()
			for !l.draining.Load() {
				time.Sleep(time.Millisecond)
			}
		}
		buf := make([]byte, 5)
		io.ReadFull(c, buf)
		fmt.Fprintf(c, "answer to %s", buf)
		c.Close()
	}
	if err := <-drained; err != nil || n < 21 {
		t.Errorf("accepted %d connections with error %v, want at least 21 and no error", n, err)
	}
	if b, err := io.ReadAll(first); string(b) != "answer to first" {
		t.Errorf("the first caller read %q, error %v", b, err)
	}
	for i, c := range callers {
		if b, err := io.ReadAll(c); string(b) != fmt.Sprintf("answer to %05d", i) {
			t.Errorf("caller %d read %q, error %v", i, b, err)
		}
	}
	if _, err := net.Dial("tcp", l.Addr().String()); err == nil {
		t.Error("connected to a drained listener")
	}
	if l.Close() != nil {
		t.Error("the second Close returned an error")
	}
}

// Drain wakes a goroutine that is blocked in Accept. Nothing is pending, so the listener is closed at once.
func TestDrainWakesAccept(t *testing.T) {
	defer goleak.VerifyNone(t)
	l := listen(t)
	ended := make(chan error, 1)
	go func() {
		_, err := l.Accept()
		ended <- err
	}()
	if err := l.Drain(time.Now().Add(20 * time.Second)); err != nil {
		t.Error(err)
	}
	if err := <-ended; !errors.Is(err, net.ErrClosed) {
		t.Error(err)
	}
}

// If no goroutine accepts any more, Drain ends at its deadline. The pending connection is reset, which is the
// fault that the package otherwise prevents.
func TestDrainEndsAtDeadline(t *testing.T) {
	l := listen(t)
	c := dial(t, l, "question")
	if err := l.Drain(time.Now().Add(50 * time.Millisecond)); err != nil {
		t.Error(err)
	}
	if b, err := io.ReadAll(c); err == nil {
		t.Errorf("read %q without an error, want a reset connection", b)
	}
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Error(err)
	}
}

// A process that is out of file descriptors during the drain accepts pending connections once it has
// descriptors again, and ends at the deadline if that does not happen.
func TestDrainOutOfDescriptors(t *testing.T) {
	for _, recovers := range []bool{true, false} {
		l := listen(t)
		c := dial(t, l, "question")
		realAccept, tries := l.accept, 0
		l.accept = func(fd int) (int, error) {
			if tries++; tries < 4 || !recovers {
				return -1, unix.EMFILE
			}
			return realAccept(fd)
		}
		drained := make(chan error, 1)
		by := time.Now().Add(20 * time.Second)
		if !recovers {
			by = time.Now().Add(50 * time.Millisecond)
		}
		go func() { drained <- l.Drain(by) }()
		for !l.draining.Load() {
			time.Sleep(time.Millisecond)
		}
		got, err := l.Accept()
		if !recovers {
			if !errors.Is(err, net.ErrClosed) {
				t.Errorf("got %v with error %v, want net.ErrClosed", got, err)
			}
		} else if err != nil {
			t.Error(err)
		} else {
			fmt.Fprint(got, "answer")
			got.Close()
			if b, err := io.ReadAll(c); string(b) != "answer" {
				t.Errorf("the caller read %q, error %v", b, err)
			}
			if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
				t.Error(err)
			}
		}
		if err := <-drained; err != nil {
			t.Error(err)
		}
	}
}
