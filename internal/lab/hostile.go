package lab

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// settleTime is how long the two processes of an upgrade run side by side before the first one is told to stop.
const settleTime = 500 * time.Millisecond

// Sizes and times of the loads of hostile peers.
const (
	dripBytes    = 64                    // written at a time by a peer that writes slowly
	dripInterval = 20 * time.Millisecond // between two such writes
	halfBody     = 1024                  // of a body of 2 KiB that is never finished
	shortFields  = 1200                  // fields of a few bytes in a head: as many as fit into 8 KiB
	h2Fields     = 7000                  // the same in a header block of 32 KiB
	floodBatch   = 64                    // requests that a peer writes at once
)

// fullName returns the name of a load with its front.
func (l memoryLoad) fullName() string {
	name := l.name + "/" + l.front
	if l.upgrade && l.name != "upgrade" {
		name += "+upgrade"
	}
	return name
}

// allMemoryLoads returns the loads, those of hostile peers with and without an upgrade.
func allMemoryLoads() []memoryLoad {
	loads := slices.Clone(memoryLoads)
	for _, upgrade := range []bool{false, true} {
		loads = append(loads, hostileLoads(upgrade)...)
		loads = append(loads, memoryLoad{"mixed", allFronts, 600, func(*memoryPeer) {}, upgrade})
	}
	return loads
}

// hostileLoads returns the loads of hostile peers of one front each.
func hostileLoads(upgrade bool) (loads []memoryLoad) {
	for _, front := range []string{"http", "uwsgi", "h2c"} {
		loads = append(loads,
			memoryLoad{"drip", front, 400, sendSlowly, upgrade},
			memoryLoad{"half", front, 400, stopHalfWay, upgrade},
			memoryLoad{"fields", front, 400, sendManyFields, upgrade},
			memoryLoad{"speed", front, 1, sendAtFullSpeed, upgrade},
			memoryLoad{"unsound", front, 1, sendUnsoundAtFullSpeed, upgrade})
	}
	return loads
}

// allFronts is the front of a load whose peers use any of them.
const allFronts = "all"

// fronts returns the fronts that a load needs.
func (l memoryLoad) fronts() []string {
	if l.front == allFronts {
		return []string{"http", "uwsgi", "h2c"}
	}
	return []string{l.front}
}

// next returns the front of the next connection of a load, and what is sent on it. A mixed load draws both from the loads with a
// front of their own.
func (l memoryLoad) next() (front string, send func(p *memoryPeer)) {
	if l.front != allFronts {
		return l.front, l.send
	}
	drawn := memoryLoads[rand.IntN(len(memoryLoads))]
	if n := rand.IntN(2); n == 0 {
		drawn = hostileLoads(false)[rand.IntN(len(hostileLoads(false)))]
	}
	return drawn.front, drawn.send
}

// largeRequest returns a request with a large head and a body of 2 KiB, as a front expects it; for h2c the frames of one
// stream.
func (p *memoryPeer) largeRequest(fields [][2]string) []byte {
	body := strings.Repeat("b", 2*halfBody)
	if p.front != "h2c" {
		return appendRequest(nil, p.front, fields, body)
	}
	p.stream += 2
	block := p.encodeBlock(fields)
	return appendH2Request(nil, p.stream, block, body)
}

// encodeBlock returns the header block of a request with some fields.
func (p *memoryPeer) encodeBlock(fields [][2]string) []byte {
	p.headerBlock.Reset()
	for _, f := range append([][2]string{{":method", "POST"}, {":scheme", "http"}, {":path", "/rpc/status-lookup"}}, fields...) {
		p.encoder.WriteField(hpack.HeaderField{Name: strings.ToLower(f[0]), Value: f[1], Sensitive: true})
	}
	return p.headerBlock.Bytes()
}

// maxFramePayload is the largest payload of a frame that every peer accepts.
const maxFramePayload = 16384

// appendH2Request appends the frames of a request.
func appendH2Request(b []byte, stream uint32, block []byte, body string) []byte {
	frame := func(kind http2.FrameType, flags http2.Flags, payload []byte) {
		n := len(payload)
		b = append(b, byte(n>>16), byte(n>>8), byte(n), byte(kind), byte(flags), byte(stream>>24), byte(stream>>16),
			byte(stream>>8), byte(stream))
		b = append(b, payload...)
	}
	kind := http2.FrameHeaders
	for len(block) > maxFramePayload {
		frame(kind, 0, block[:maxFramePayload])
		kind, block = http2.FrameContinuation, block[maxFramePayload:]
	}
	frame(kind, http2.FlagHeadersEndHeaders, block)
	frame(http2.FrameData, http2.FlagDataEndStream, []byte(body))
	return b
}

// sendSlowly writes a large request a few bytes at a time.
func sendSlowly(p *memoryPeer) {
	for rest := p.largeRequest(memoryFields()); len(rest) > 0; time.Sleep(dripInterval) {
		n := min(len(rest), dripBytes)
		if !p.write(rest[:n]) {
			return
		}
		rest = rest[n:]
	}
	p.awaitClose()
}

// stopHalfWay writes large requests up to the middle of their bodies: one, or over h2c as many as the node lets be open.
func stopHalfWay(p *memoryPeer) {
	if p.front != "h2c" {
		request := p.largeRequest(memoryFields())
		p.write(request[:len(request)-halfBody])
		p.awaitClose()
		return
	}
	for range unfinishedStreams {
		p.stream += 2
		if !p.headersH2(p.stream, false) || p.framer.WriteData(p.stream, false, make([]byte, halfBody)) != nil {
			break
		}
	}
	p.awaitClose()
}

// manyFieldsRequests holds a request of many fields for each front, encoded once: many peers send it.
var manyFieldsRequests = map[string]func() []byte{"http": encodeManyFields("http"), "uwsgi": encodeManyFields("uwsgi"),
	"h2c": encodeManyFields("h2c")}

// encodeManyFields returns a function that returns a request whose head consists of very many short fields.
func encodeManyFields(front string) func() []byte {
	return sync.OnceValue(func() []byte {
		n := shortFields
		if front == "h2c" {
			n = h2Fields
		}
		fields := requestFields(requestIDs.Add(1))
		for i := range n {
			fields = append(fields, [2]string{string(rune('a' + i%26)), ""})
		}
		p := memoryPeer{front: front, stream: ^uint32(0)}
		p.encoder = hpack.NewEncoder(&p.headerBlock)
		return p.largeRequest(fields)
	})
}

// sendManyFields writes a request whose head consists of very many short fields, and then one without its end.
func sendManyFields(p *memoryPeer) {
	request := manyFieldsRequests[p.front]()
	p.write(request)
	if p.front == "h2c" {
		p.awaitClose()
		return
	}
	p.write(request[:len(request)-halfBody])
	p.awaitClose()
}

// sendAtFullSpeed writes small requests as fast as the node reads them, each by another caller and with another key.
func sendAtFullSpeed(p *memoryPeer) {
	p.flood(func(b []byte, n uint64) []byte {
		fields := append(requestFields(n), [2]string{"req-key", fmt.Sprint("key", n)})
		fields[2][1] = fmt.Sprint(n % (1 << 30))
		if p.front != "h2c" {
			return appendRequest(b, p.front, fields, "instant")
		}
		p.stream += 2
		return appendH2Request(b, p.stream, p.encodeBlock(fields), "instant")
	})
}

// sendUnsoundAtFullSpeed writes requests that can't be served as fast as the node reads them, each for another class. HTTP/1.1 and
// uwsgi end the connection after the first one.
func sendUnsoundAtFullSpeed(p *memoryPeer) {
	p.flood(func(b []byte, n uint64) []byte {
		path := fmt.Sprint("/rpc/class", n)
		switch p.front {
		case "http":
			return fmt.Appendf(b, "POST %s HTTP/1.1\r\nContent-Length: 0\r\n\r\n", path)
		case "uwsgi":
			vars := []byte{14, 0}
			vars = append(vars, "REQUEST_METHOD\x04\x00POST\x09\x00PATH_INFO"...)
			vars = append(append(vars, byte(len(path)), 0), path...)
			return append(append(b, 0, byte(len(vars)), 0, 0), vars...)
		}
		p.stream += 2
		p.headerBlock.Reset()
		for _, f := range [][2]string{{":method", "POST"}, {":scheme", "http"}, {":path", path}} {
			p.encoder.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]})
		}
		return appendH2Request(b, p.stream, p.headerBlock.Bytes(), "")
	})
}

// flood writes messages in batches without waiting for answers, until the connection ends.
func (p *memoryPeer) flood(appendMessage func(b []byte, n uint64) []byte) {
	go p.awaitClose()
	batch := floodBatch
	if p.front == "uwsgi" {
		batch = 1 // a connection carries one request
	}
	for time.Now().Before(p.end) {
		var b []byte
		for range batch {
			b = appendMessage(b, requestIDs.Add(1))
		}
		atomic.AddInt64(p.messages, int64(batch))
		if _, err := p.conn.Write(b); err != nil {
			return
		}
		if p.front == "uwsgi" {
			time.Sleep(time.Millisecond) // its answer comes before the close
			return
		}
	}
}
