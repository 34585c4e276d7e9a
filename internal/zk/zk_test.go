package zk

import (
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"whinrudder/internal/membership"
)

// A step that waits for an ensemble which fell silent must not hold up the end: the connection is given up in time, also where the
// notice to leave came after the step had begun.
func TestSilenceDoesNotHoldUpTheEnd(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	asked := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		c.Read(make([]byte, 256))                   // the opening of a session, which is granted:
		b := binary.BigEndian.AppendUint32(nil, 36) // a frame of version, time, session and password
		b = binary.BigEndian.AppendUint64(b, 60000) // version 0, milliseconds
		b = binary.BigEndian.AppendUint64(b, 101)   // session
		b = binary.BigEndian.AppendUint32(b, 16)    // length of the password
		c.Write(append(b, make([]byte, 16)...))     // and no word more
		c.Read(make([]byte, 256))
		close(asked)
		io.Copy(io.Discard, c)
	}()
	lines := make(chan string, 64)
	r := Register([]string{l.Addr().String()}, 60000, "/nodes", membership.Entry{Name: "n1"}, nil, func(_ string, pairs ...any) {
		lines <- pairs[3].(string)
	})
	<-asked
	r.Remove(now())
	for {
		select {
		case line := <-lines:
			if line == "left" {
				return
			}
		case <-time.After(10 * time.Second):
			t.Fatal("did not leave")
		}
	}
}

// An ensemble that answers with a frame of an absurd length costs its connection: the library would make room for 2 GB. The node
// says what it lost, tries again later, and leaves in time.
func TestAbsurdLengthCostsTheConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	cut := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		c.Write(binary.BigEndian.AppendUint32(nil, 0x7ffffff0))
		_, err = io.Copy(io.Discard, c) // until the other side ends the connection
		select {
		case cut <- err:
		default:
		}
	}()
	lines := make(chan string, 64)
	r := Register([]string{l.Addr().String()}, 1000, "/nodes", membership.Entry{Name: "n1"}, nil, func(_ string, pairs ...any) {
		select {
		case lines <- pairs[3].(string):
		default:
		}
	})
	select {
	case <-cut:
	case <-time.After(10 * time.Second):
		t.Fatal("the connection stands, waiting for 2 GB")
	}
	r.Remove(now())
	for said := ""; ; {
		select {
		case line := <-lines:
			said += line + " "
			if line == "left" {
				return
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("did not leave: %s", strings.TrimSpace(said))
		}
	}
}
