package rehearse

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// caller is one connection of a simple client.
type caller struct {
	conn     net.Conn
	reader   *bufio.Reader
	protocol string
	sentAt   time.Time   // when the last request was sent, its default Req-Time
	pending  chan answer // the answer that is being read, or nil
	closing  bool        // the last answer said that the connection ends
	h2       *h2Caller
}

// answer is an answer in the notation of exchanges. The field closing reports that the connection ends after it.
type answer struct {
	text    string
	closing bool
}

// startReading starts to read an answer, unless a read is already in progress, and returns the channel of the answer.
func (c *caller) startReading(word, want string) chan answer {
	if c.pending == nil {
		ch := make(chan answer, 1)
		c.pending = ch
		go func() { ch <- c.readAnswer(word, want) }()
	}
	return c.pending
}

// firstAnswer waits for the first answer that any of the callers reads and returns its text.
func firstAnswer(callers []*caller, word, want string) string {
	var cases []reflect.SelectCase
	if len(callers) > 1 {
		callers = slices.DeleteFunc(callers, func(c *caller) bool { return c.closing })
	}
	for _, c := range callers {
		cases = append(cases, reflect.SelectCase{Dir: reflect.SelectRecv,
			Chan: reflect.ValueOf(c.startReading(word, want))})
	}
	i, v, _ := reflect.Select(cases)
	received := v.Interface().(answer)
	// Only the selected answer is consumed: an answer that another caller has read meanwhile stays pending for a later
	// step.
	callers[i].pending, callers[i].closing = nil, received.closing
	return received.text
}

func dial(addr, protocol string) (*caller, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	k := &caller{conn: c, reader: bufio.NewReader(c), protocol: protocol}
	if protocol == "h2c" {
		k.h2 = newH2Caller(c)
	}
	return k, nil
}

// CallStep returns the arguments of a call step after the caller's name: a request of a class with a random id.
func CallStep(class, body, wait string) string {
	return fmt.Sprintf("%s %016x wait=%s body=%q", class, rand.Uint64(), wait, body)
}

// Send sends one request to a node and returns the answer in the notation of exchanges: the status, the advice and the
// body. The word is that of the step, call or check, and text its arguments after the caller's name.
func Send(addr, protocol, word, text string) (string, error) {
	if protocol != "http" && protocol != "uwsgi" && protocol != "h2c" {
		return "", fmt.Errorf("unknown protocol %q", protocol)
	}
	c, err := dial(addr, protocol)
	if err != nil {
		return "", err
	}
	defer c.conn.Close()
	if err := c.send(word, text); err != nil {
		return "", err
	}
	return c.readAnswer("answer", "").text, nil
}

// send carries out the sending step word: call, check, door or send.
func (c *caller) send(word, text string) error {
	c.sentAt = time.Now()
	var b []byte
	switch word {
	case "send":
		s, err := strconv.Unquote(text)
		if err != nil {
			return fmt.Errorf("the bytes are not quoted as in Go: %w", err)
		}
		// %TIME% stands for the current time, so that recorded requests have not expired.
		b = []byte(strings.ReplaceAll(s, "%TIME%", fmt.Sprint(c.sentAt.UnixMilli())))
	case "door":
		b = fmt.Appendf(nil, "%s HTTP/1.1\r\nHost: admin\r\n\r\n", text)
	case "check":
		if query := map[string]string{"real": "real=1"}[text]; c.h2 != nil {
			c.h2.request("GET", "/health", query, nil, "")
			return nil
		} else {
			b = c.encode("GET", "/health", query, nil, "")
		}
	case "call":
		class, rest, _ := strings.Cut(text, " ")
		id, rest, _ := strings.Cut(rest, " ")
		f := parsePairs(rest)
		fields := [][2]string{{"Req-Id", id}, {"Req-Time", valueOr(f["time"], fmt.Sprint(c.sentAt.UnixMilli()))},
			{"Req-From", valueOr(f["from"], "1")},
			{"Req-Wait-Ms", valueOr(f["wait"], "9000")}, {"Req-Kb", valueOr(f["kb"], "20")}, {"Req-Rank", valueOr(f["rank"], "0.5")}}
		if f["key"] != "" {
			fields = append(fields, [2]string{"Req-Key", f["key"]})
		}
		if f["token"] != "" {
			fields = append(fields, [2]string{"Req-Token", f["token"]})
		}
		if c.h2 != nil {
			c.h2.request("POST", "/rpc/"+class, "", fields, f["body"])
			return nil
		}
		b = c.encode("POST", "/rpc/"+class, "", fields, f["body"])
	}
	c.conn.SetWriteDeadline(time.Now().Add(stepTimeout))
	_, err := c.conn.Write(b)
	return err
}

func valueOr(s, fallback string) string {
	if s == "" {
		return fallback
	}
	return s
}

// encode returns a request in the caller's protocol, HTTP/1.1 or uwsgi.
func (c *caller) encode(method, path, query string, fields [][2]string, body string) []byte {
	if c.protocol == "uwsgi" {
		vars := [][2]string{{"REQUEST_METHOD", method}, {"PATH_INFO", path}, {"QUERY_STRING", query},
			{"CONTENT_LENGTH", fmt.Sprint(len(body))}}
		for _, f := range fields {
			vars = append(vars, [2]string{"HTTP_" + strings.ToUpper(strings.ReplaceAll(f[0], "-", "_")), f[1]})
		}
		return append(uwsgiPacket(vars), body...)
	}
	if query != "" {
		path += "?" + query
	}
	b := fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: api.internal\r\n", method, path)
	for _, f := range fields {
		b = fmt.Appendf(b, "%s: %s\r\n", f[0], f[1])
	}
	return fmt.Appendf(b, "Content-Length: %d\r\n\r\n%s", len(body), body)
}

// uwsgiPacket returns a uwsgi packet with the variables.
func uwsgiPacket(vars [][2]string) []byte {
	var b []byte
	for _, v := range vars {
		for _, s := range v {
			b = binary.LittleEndian.AppendUint16(b, uint16(len(s)))
			b = append(b, s...)
		}
	}
	return append(binary.LittleEndian.AppendUint16([]byte{0}, uint16(len(b))), append([]byte{0}, b...)...)
}

var loadPattern = regexp.MustCompile(`Srv-Load: [0-9.]+`)

// readAnswer reads one answer. The step recv gets it as raw bytes; other steps get its status, advice and body. The
// expectation after=MS in want holds if the answer came at least MS after the request was sent, and wait>=MS if the
// advised wait is at least MS.
func (c *caller) readAnswer(word, want string) (received answer) {
	if c.protocol == "peer" {
		return c.readPeerFrames()
	}
	if c.h2 != nil {
		a := c.h2.nextAnswer()
		if a.closeReason != "" {
			return answer{text: "ended: " + a.closeReason}
		}
		return c.describe(a.fields[":status"], a.fields["srv-load"], a.fields["srv-wait-ms"], a.fields["srv-last"],
			a.fields["srv-kept"], a.body, want)
	}
	c.conn.SetReadDeadline(time.Now().Add(stepTimeout))
	raw, length, status := "", 0, ""
	fields := map[string]string{}
	for {
		line, err := c.reader.ReadString('\n')
		raw += line
		if err != nil {
			return answer{text: fmt.Sprintf("%q ended: %v", raw, describeReadError(err))}
		}
		line = strings.TrimRight(line, "\r\n")
		if status == "" {
			status = strings.Fields(line + " - -")[1]
		}
		if line == "" {
			break
		}
		k, v, _ := strings.Cut(line, ": ")
		fields[k] = v
	}
	length, _ = strconv.Atoi(fields["Content-Length"])
	body := make([]byte, length)
	if _, err := io.ReadFull(c.reader, body); err != nil {
		return answer{text: fmt.Sprintf("%q ended within the body", raw)}
	}
	if fields["Connection"] == "close" {
		received.closing = true
		defer c.conn.Close() // as callers do once all requests are answered
	}
	if word == "recv" {
		received.text = strconv.Quote(loadPattern.ReplaceAllString(raw, "Srv-Load: N") + string(body))
		return received
	}
	received.text = c.describe(status, fields["Srv-Load"], fields["Srv-Wait-Ms"], fields["Srv-Last"],
		fields["Srv-Kept"], body, want).text
	return received
}

// describeWait returns an advised wait as a word of an answer: the bound wait>=MS of want if it holds, else the exact
// wait.
func describeWait(wait, want string) string {
	for _, w := range strings.Fields(want) {
		if text, ok := strings.CutPrefix(w, "wait>="); ok {
			minimum, parseErr := strconv.Atoi(text)
			if n, err := strconv.Atoi(wait); errors.Join(parseErr, err) == nil && n >= minimum {
				return w
			}
		}
	}
	return "wait=" + wait
}

// describe returns an answer in the notation of exchanges.
func (c *caller) describe(status, load, wait, last, kept string, body []byte, want string) answer {
	if load != "" {
		status += " load"
	}
	if wait != "" {
		status += " " + describeWait(wait, want)
	}
	if last != "" {
		status += " last=" + last
	}
	if kept != "" {
		status += " kept=" + kept
	}
	for _, w := range strings.Fields(want) {
		if ms, ok := strings.CutPrefix(w, "after="); ok {
			took := time.Since(c.sentAt).Milliseconds()
			if n, _ := strconv.ParseInt(ms, 10, 64); took >= n {
				took = n
			}
			status += fmt.Sprint(" after=", took)
		}
	}
	if len(body) > 0 {
		status += " " + strconv.Quote(string(body))
	}
	return answer{text: status}
}

// describeReadError returns the word of exchanges for the end of a connection or of a wait.
func describeReadError(err error) string {
	if err == io.EOF {
		return "eof"
	}
	if e, ok := err.(net.Error); ok && e.Timeout() {
		return "nothing came"
	}
	return "reset"
}
