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

func listen(t *testing.T) *Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return New(l.(*net.TCPListener))
}

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

// All who wait when the listener leaves are taken and answered, though nobody had accepted any until then; a caller that
// went meanwhile holds nothing up.
func TestWhoWaitsIsTaken(t *testing.T) {
	defer goleak.VerifyNone(t)
	l := listen(t)
	first := dial(t, l, "first")
	var callers []net.Conn
	left := make(chan error, 1)
	n := 0
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		if n++; n == 1 { // the goroutine that accepts is late: a queue builds up
			for i := range 20 {
				callers = append(callers, dial(t, l, fmt.Sprintf("%05d", i)))
			}
			dial(t, l, "gone!").Close()
			go func() { left <- l.Drain(time.Now().Add(20 * time.Second)) }()
			for !l.leaving.Load() {
				time.Sleep(time.Millisecond)
			}
		}
		buf := make([]byte, 5)
		io.ReadFull(c, buf)
		fmt.Fprintf(c, "answer to %s", buf)
		c.Close()
	}
	if err := <-left; err != nil || n < 21 {
		t.Errorf("%d accepted, %v", n, err)
	}
	if b, err := io.ReadAll(first); string(b) != "answer to first" {
		t.Errorf("the first reads %q, %v", b, err)
	}
	for i, c := range callers {
		if b, err := io.ReadAll(c); string(b) != fmt.Sprintf("answer to %05d", i) {
			t.Errorf("caller %d reads %q, %v", i, b, err)
		}
	}
	if _, err := net.Dial("tcp", l.Addr().String()); err == nil {
		t.Error("somebody is let in after the end")
	}
	if l.Close() != nil {
		t.Error("a second close")
	}
}

// A goroutine that sleeps in Accept wakes; nothing waits, so that the listener is closed at once.
func TestLeaveWakesAccept(t *testing.T) {
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

// A goroutine that does not accept any more does not hold the end up. Whoever waits is reset: the fault that this package
// is for.
func TestEndsByItsTime(t *testing.T) {
	l := listen(t)
	c := dial(t, l, "question")
	if err := l.Drain(time.Now().Add(50 * time.Millisecond)); err != nil {
		t.Error(err)
	}
	if b, err := io.ReadAll(c); err == nil {
		t.Errorf("read %q to the end", b)
	}
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Error(err)
	}
}

// A process that is out of descriptors as it leaves takes who waits once there is room, and ends by its time if there never is.
func TestOutOfDescriptors(t *testing.T) {
	for _, room := range []bool{true, false} {
		l := listen(t)
		c := dial(t, l, "question")
		real, tries := l.accept, 0
		l.accept = func(fd int) (int, error) {
			if tries++; tries < 4 || !room {
				return -1, unix.EMFILE
			}
			return real(fd)
		}
		left := make(chan error, 1)
		by := time.Now().Add(20 * time.Second)
		if !room {
			by = time.Now().Add(50 * time.Millisecond)
		}
		go func() { left <- l.Drain(by) }()
		for !l.leaving.Load() {
			time.Sleep(time.Millisecond)
		}
		got, err := l.Accept()
		if !room {
			if !errors.Is(err, net.ErrClosed) {
				t.Error(got, err)
			}
		} else if err != nil {
			t.Error(err)
		} else {
			fmt.Fprint(got, "answer")
			got.Close()
			if b, err := io.ReadAll(c); string(b) != "answer" {
				t.Errorf("%q %v", b, err)
			}
			if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
				t.Error(err)
			}
		}
		if err := <-left; err != nil {
			t.Error(err)
		}
	}
}
