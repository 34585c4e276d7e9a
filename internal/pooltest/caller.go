package pooltest

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// answerGrace is how long after its due time an answer still counts.
const answerGrace = 130 * time.Millisecond

// Outcomes counts how the requests of callers ended.
type Outcomes struct {
	Served, Refused, Failed int
	Unheard                 int      // the connection was refused, or closed before the request could be read
	Lost                    []string // read by the node, and not answered by the due time
}

// Sent returns the number of requests.
func (o Outcomes) Sent() int { return o.Served + o.Refused + o.Failed + o.Unheard + len(o.Lost) }

// Callers send requests to a node, each on a connection of its own that it keeps, and judge the answers.
type Callers struct {
	Addr      string
	Pool      *Pool
	Wait      time.Duration // how long a caller waits for an answer
	KB        float64       // memory of a request
	PickClass func() string

	mu       sync.Mutex
	outcomes Outcomes
}

// Outcomes returns how the requests ended so far.
func (c *Callers) Outcomes() Outcomes {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outcomes
}

// note records an outcome.
func (c *Callers) note(record func(o *Outcomes)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	record(&c.outcomes)
}

// Run sends requests one after another, with a pause after each, until done is closed.
func (c *Callers) Run(done <-chan struct{}, pause time.Duration) {
	var conn net.Conn
	var reader *bufio.Reader
	fresh := false // nothing was sent on the connection yet
	for {
		select {
		case <-done:
			if conn != nil {
				conn.Close()
			}
			return
		case <-time.After(pause):
		}
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp", c.Addr); err != nil {
				conn = nil
				c.note(func(o *Outcomes) { o.Unheard++ })
				continue
			}
			reader, fresh = bufio.NewReader(conn), true
		}
		if !c.exchange(conn, reader, fresh) {
			conn.Close()
			conn = nil
		}
		fresh = false
	}
}

// exchange sends one request and reads its answer. It returns false if the connection must not be used again.
func (c *Callers) exchange(conn net.Conn, reader *bufio.Reader, fresh bool) (reusable bool) {
	id, sent := fmt.Sprintf("%016x", rand.Uint64()), time.Now()
	c.Pool.Announce(id, c.KB)
	defer c.Pool.Answered(id)
	_, err := fmt.Fprintf(conn, "POST /rpc/%s HTTP/1.1\r\nReq-Id: %s\r\nReq-Time: %d\r\nReq-From: 1\r\nReq-Wait-Ms: %d\r\nReq-Kb: %g\r\nReq-Rank: 0.5\r\nContent-Length: 2\r\n\r\nok",
		c.PickClass(), id, sent.UnixMilli(), c.Wait.Milliseconds(), c.KB)
	if err != nil {
		c.note(func(o *Outcomes) { o.Unheard++ })
		return false
	}
	due := sent.Add(c.Wait + answerGrace)
	conn.SetReadDeadline(due)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		c.noteNoAnswer(id, err, fresh, time.Since(sent))
		return false
	}
	io.Copy(io.Discard, response.Body)
	c.note(func(o *Outcomes) {
		switch response.StatusCode {
		case http.StatusOK:
			o.Served++
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			o.Refused++
		default:
			o.Failed++
		}
	})
	return !response.Close
}

// crossingTime is how long a request may have been under way when the node closes the connection.
const crossingTime = 50 * time.Millisecond

// noteNoAnswer records a request whose connection ended, or on which nothing came. A connection that the node had closed
// already, or closes with the request unread, is reset or ends at once. On a fresh connection the end of the stream proves
// that the request was read.
func (c *Callers) noteNoAnswer(id string, err error, fresh bool, after time.Duration) {
	reset := errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	c.note(func(o *Outcomes) {
		if after < crossingTime && (reset || !fresh) {
			o.Unheard++
			return
		}
		o.Lost = append(o.Lost, fmt.Sprintf("%s after %v, fresh %t: %v", id, after.Round(time.Millisecond), fresh, err))
	})
}
