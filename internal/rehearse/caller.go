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

// caller is one connection of a toy client.
type caller struct {
	c        net.Conn
	r        *bufio.Reader
	protocol string
	sent     time.Time // Req-Time of its last request
	heard    chan heard
	over     bool // was told that the connection ends
	h2       *h2Caller
}

// heard is an answer as an exchange tells it. Last says that the connection ends after it.
type heard struct {
	text string
	last bool
}

// ask starts to read an answer, unless that is under way.
func (c *caller) ask(word, want string) chan heard {
	if c.heard == nil {
		ch := make(chan heard, 1)
		c.heard = ch
		go func() { ch <- c.hear(word, want) }()
	}
	return c.heard
}

// first waits for the first answer that one of some callers reads.
func first(callers []*caller, word, want string) string {
	var cases []reflect.SelectCase
	if len(callers) > 1 {
		callers = slices.DeleteFunc(callers, func(c *caller) bool { return c.over })
	}
	for _, c := range callers {
		cases = append(cases, reflect.SelectCase{Dir: reflect.SelectRecv, Chan: reflect.ValueOf(c.ask(word, want))})
	}
	i, v, _ := reflect.Select(cases)
	h := v.Interface().(heard)
	// Only the answer that is taken counts: another one that came meanwhile is still to be told.
	callers[i].heard, callers[i].over = nil, h.last
	return h.text
}

func dial(addr, protocol string) (*caller, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	k := &caller{c: c, r: bufio.NewReader(c), protocol: protocol}
	if protocol == "h2c" {
		k.h2 = newH2Caller(c)
	}
	return k, nil
}

// CallStep is the text of a call step: a request of a class with a fresh id.
func CallStep(class, body, wait string) string {
	return fmt.Sprintf("%s %016x wait=%s body=%q", class, rand.Uint64(), wait, body)
}

// Send sends one call or check to a node and returns the answer as an exchange tells it: the status, what rides on
// it and the body.
func Send(addr, protocol, word, text string) (string, error) {
	if protocol != "http" && protocol != "uwsgi" && protocol != "h2c" {
		return "", fmt.Errorf("unknown protocol %q", protocol)
	}
	c, err := dial(addr, protocol)
	if err != nil {
		return "", err
	}
	defer c.c.Close()
	if err := c.say(word, text); err != nil {
		return "", err
	}
	return c.hear("answer", "").text, nil
}

// say sends a request, a check or raw bytes.
func (c *caller) say(word, text string) error {
	c.sent = time.Now()
	var b []byte
	switch word {
	case "send":
		s, err := strconv.Unquote(text)
		if err != nil {
			return fmt.Errorf("the bytes must be quoted as in Go: %w", err)
		}
		// %TIME% stands for the present instant, so that recorded requests stay alive.
		b = []byte(strings.ReplaceAll(s, "%TIME%", fmt.Sprint(c.sent.UnixMilli())))
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
		f := pairs(rest)
		fields := [][2]string{{"Req-Id", id}, {"Req-Time", or(f["time"], fmt.Sprint(c.sent.UnixMilli()))}, {"Req-From", or(f["from"], "1")},
			{"Req-Wait-Ms", or(f["wait"], "9000")}, {"Req-Kb", or(f["kb"], "20")}, {"Req-Rank", or(f["rank"], "0.5")}}
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
	c.c.SetWriteDeadline(time.Now().Add(patience))
	_, err := c.c.Write(b)
	return err
}

func or(s, other string) string {
	if s == "" {
		return other
	}
	return s
}

func (c *caller) encode(method, path, query string, fields [][2]string, body string) []byte {
	if c.protocol == "uwsgi" {
		vars := [][2]string{{"REQUEST_METHOD", method}, {"PATH_INFO", path}, {"QUERY_STRING", query},
			{"CONTENT_LENGTH", fmt.Sprint(len(body))}}
		for _, f := range fields {
			vars = append(vars, [2]string{"HTTP_" + strings.ToUpper(strings.ReplaceAll(f[0], "-", "_")), f[1]})
		}
		return append(packet(vars), body...)
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

// packet is a uwsgi packet of variables.
func packet(vars [][2]string) []byte {
	var b []byte
	for _, v := range vars {
		for _, s := range v {
			b = binary.LittleEndian.AppendUint16(b, uint16(len(s)))
			b = append(b, s...)
		}
	}
	return append(binary.LittleEndian.AppendUint16([]byte{0}, uint16(len(b))), append([]byte{0}, b...)...)
}

var load = regexp.MustCompile(`Srv-Load: [0-9.]+`)

// hear reads one answer. As raw bytes it is told whole; else by its status, its advice and its body. A want of
// after=MS holds if the answer came no sooner after Req-Time, wait>=MS if its advice is no shorter.
func (c *caller) hear(word, want string) (h heard) {
	if c.protocol == "peer" {
		return c.hearPeer()
	}
	if c.h2 != nil {
		a := c.h2.hear()
		if a.end != "" {
			return heard{text: "ended: " + a.end}
		}
		return c.tell(a.fields[":status"], a.fields["srv-load"], a.fields["srv-wait-ms"], a.fields["srv-last"], a.fields["srv-kept"], a.body, want)
	}
	c.c.SetReadDeadline(time.Now().Add(patience))
	raw, length, status := "", 0, ""
	f := map[string]string{}
	for {
		line, err := c.r.ReadString('\n')
		raw += line
		if err != nil {
			return heard{text: fmt.Sprintf("%q ended: %v", raw, plain(err))}
		}
		line = strings.TrimRight(line, "\r\n")
		if status == "" {
			status = strings.Fields(line + " - -")[1]
		}
		if line == "" {
			break
		}
		k, v, _ := strings.Cut(line, ": ")
		f[k] = v
	}
	length, _ = strconv.Atoi(f["Content-Length"])
	body := make([]byte, length)
	if _, err := io.ReadFull(c.r, body); err != nil {
		return heard{text: fmt.Sprintf("%q ended within the body", raw)}
	}
	if f["Connection"] == "close" {
		h.last = true
		defer c.c.Close() // as callers do once all is answered
	}
	if word == "recv" {
		h.text = strconv.Quote(load.ReplaceAllString(raw, "Srv-Load: N") + string(body))
		return h
	}
	h.text = c.tell(status, f["Srv-Load"], f["Srv-Wait-Ms"], f["Srv-Last"], f["Srv-Kept"], body, want).text
	return h
}

// advice is the word of a wait: as it is, or as the bound that is wanted if it holds.
func advice(wait, want string) string {
	for _, w := range strings.Fields(want) {
		if text, ok := strings.CutPrefix(w, "wait>="); ok {
			least, bad := strconv.Atoi(text)
			if n, err := strconv.Atoi(wait); errors.Join(bad, err) == nil && n >= least {
				return w
			}
		}
	}
	return "wait=" + wait
}

// tell is an answer as an exchange tells it.
func (c *caller) tell(out, load, wait, last, kept string, body []byte, want string) heard {
	if load != "" {
		out += " load"
	}
	if wait != "" {
		out += " " + advice(wait, want)
	}
	if last != "" {
		out += " last=" + last
	}
	if kept != "" {
		out += " kept=" + kept
	}
	for _, w := range strings.Fields(want) {
		if ms, ok := strings.CutPrefix(w, "after="); ok {
			took := time.Since(c.sent).Milliseconds()
			if n, _ := strconv.ParseInt(ms, 10, 64); took >= n {
				took = n
			}
			out += fmt.Sprint(" after=", took)
		}
	}
	if len(body) > 0 {
		out += " " + strconv.Quote(string(body))
	}
	return heard{text: out}
}

func plain(err error) string {
	if err == io.EOF {
		return "eof"
	}
	if e, ok := err.(net.Error); ok && e.Timeout() {
		return "nothing came"
	}
	return "reset"
}
