package rehearse

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"whinrudder"
	"whinrudder/internal/knowledge"
	"whinrudder/internal/peer"
	"whinrudder/internal/settings"
	"whinrudder/internal/warmup"
)

// fakeDonor is a fake of a donor of learned state, on a loopback port. It behaves to every taker as its script says:
//
//	donor NAME time=MS runs=N age=MS   reports the classes with 1, 0.6 and 1.1 times that time
//	      wrong=CLASS:FACTOR           multiplies the time of one class by a factor
//	      draining, cold               reports that it is draining or cold
//	      busy=MS                      refuses the first taker as busy, with MS as the time after which to retry
//	      mute                         accepts connections and sends nothing
//	      garbage                      answers in another protocol
//	      huge                         sends a valid frame header that announces 4 GiB in place of a section
//	      half                         stops within a frame and keeps the connection open
//	      die=N                        closes the connection after N bytes of the sections
//	      drains                       sends one section, then a refusal because it is draining
type fakeDonor struct {
	listener net.Listener
	script   map[string]string
	name     string
	sentBusy bool
}

func newFakeDonor(name, script string) (*fakeDonor, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &fakeDonor{listener: l, script: map[string]string{"time": "300", "runs": "100", "age": "0"}, name: name}
	for w := range strings.FieldsSeq(script) {
		k, v, _ := strings.Cut(w, "=")
		d.script[k] = valueOr(v, "yes")
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
	return d, nil
}

// number returns the number that the script gives for key, or 0.
func (d *fakeDonor) number(key string) float64 {
	v, _ := strconv.ParseFloat(d.script[key], 64)
	return v
}

// report returns the learned state that the donor sends.
func (d *fakeDonor) report() knowledge.Report {
	r := knowledge.Report{Node: d.name, Uptime: 60000, Cores: 2, Warm: d.script["cold"] == "",
		Draining: d.script["draining"] != "",
		Limit:    whinrudder.Estimate{Value: 2, N: 50, Age: d.number("age")}}
	wrong, by, _ := strings.Cut(d.script["wrong"], ":")
	for i, n := range []string{"status-lookup", "rate-quote", "payout-book"} {
		t := d.number("time") * []float64{1, 0.6, 1.1}[i]
		if n == wrong {
			f, _ := strconv.ParseFloat(by, 64)
			t *= f
		}
		r.Classes = append(r.Classes, knowledge.Class{Name: n, ClassKnowledge: whinrudder.ClassKnowledge{Share: 1,
			Cost: whinrudder.CostModel{N: d.number("runs"), Age: d.number("age"), Time: t}}})
	}
	return r
}

// serve serves one connection of a taker as the script says.
func (d *fakeDonor) serve(c net.Conn) {
	defer c.Close()
	c.SetDeadline(time.Now().Add(stepTimeout))
	source := peer.NewSourceConn(0)
	buf := make([]byte, 4096)
	for {
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		if d.script["mute"] != "" {
			continue
		}
		step, out, fault := source.Feed(buf[:n])
		switch {
		case step == peer.StepSendWelcome && d.script["garbage"] != "":
			out, fault = []byte("HTTP/1.1 400 Bad Request\r\n\r\n"), &peer.Fault{}
		case step == peer.StepSendWelcome && d.script["busy"] != "" && !d.sentBusy:
			d.sentBusy = true
			_, out, fault = source.SendBusy("busy", d.number("busy"))
		case step == peer.StepSendWelcome:
			_, out, fault = source.SendWelcome(peer.SummaryOf(d.report()))
		case step == peer.StepSendReport:
			_, out, _ = source.SendReport(d.report())
			out, fault = d.corrupt(out), &peer.Fault{}
		}
		c.Write(out)
		if d.script["half"] != "" && step == peer.StepSendReport {
			time.Sleep(stepTimeout) // the taker closes the connection long before
			return
		}
		if fault != nil {
			return
		}
	}
}

// corrupt replaces the encoded sections by the bytes that the script asks for.
func (d *fakeDonor) corrupt(sections []byte) []byte {
	switch {
	case d.script["huge"] != "":
		return []byte("\x57\x4b\x01\x04\xff\xff\xff\xff\x00\x00\x00\x00\x00\x00\x00\x00")
	case d.script["half"] != "":
		return sections[:20]
	case d.script["die"] != "":
		return sections[:min(len(sections), int(d.number("die")))]
	case d.script["drains"] != "":
		one := knowledge.Report{Classes: d.report().Classes[:1]}
		first := peer.AppendSections(nil, one)
		var r peer.Reader
		r.Feed(first)
		f, _, _ := r.Next()
		return peer.AppendRefuse(peer.AppendFrame(nil, f), "draining")
	}
	return sections
}

// fakeDonors are the donors of an exchange.
type fakeDonors struct {
	names  []string
	byName map[string]*fakeDonor
}

func (p *fakeDonors) add(line, name, script string) (string, error) {
	d, err := newFakeDonor(name, script)
	if err != nil {
		return "", err
	}
	if p.byName == nil {
		p.byName = map[string]*fakeDonor{}
	}
	p.names, p.byName[name] = append(p.names, name), d
	return line, nil
}

// peerConfig returns the peer section of an operator's file. It names all donors, or with discover it makes the node
// find them among the znodes.
func (p *fakeDonors) peerConfig(takeMs float64, discover bool) settings.PeerConfig {
	o := settings.PeerConfig{Listen: "127.0.0.1:0", Plaintext: true, FetchTimeoutMs: takeMs, HalfLifeMs: 180e3, MaxAgeMs: 900e3, Discover: discover}
	for _, n := range p.names {
		if discover {
			break
		}
		o.Donors = append(o.Donors, p.byName[n].listener.Addr().String())
	}
	return o
}

func (p *fakeDonors) close() {
	for _, d := range p.byName {
		d.listener.Close()
	}
}

// peerStep carries out a step of the peer protocol and returns its line for the transcript.
func (p *player) peerStep(line, word, name, args string) (string, error) {
	switch word {
	case "taker":
		report, err := warmup.FetchReport(p.node.PeerAddr(), name, nil, float64(time.Now().Add(stepTimeout).UnixMilli()))
		var fault *peer.Fault
		if errors.As(err, &fault) {
			return "taker " + name + " " + fault.Code, nil
		}
		if err != nil {
			return "taker " + name + " failed", nil
		}
		return fmt.Sprintf("taker %s whole classes=%d draining=%t", name, len(report.Classes), report.Draining), nil
	case "prior":
		text, _, _ := strings.Cut(p.log.wait(func() string { return p.log.shift(&p.log.priors) }), " factor=")
		return "prior " + text, nil
	case "peer":
		if name == "over" {
			return "peer over " + p.log.wait(func() string { return p.log.shift(&p.log.donorCounts) }), nil
		}
		donor, _, _ := strings.Cut(args, " ")
		if p.donors.byName[donor] == nil {
			return "", fmt.Errorf("no donor %q", donor)
		}
		addr := p.donors.byName[donor].listener.Addr().String()
		return "peer take " + donor + " " + p.log.wait(func() string {
			list := p.log.donorCodes[addr]
			text := p.log.shift(&list)
			p.log.donorCodes[addr] = list
			return text
		}), nil
	}
	return "", fmt.Errorf("unknown step %q", line)
}

// readPeerFrames reads what a node's peer port sends until the connection ends, and returns the names and codes of the
// frames.
func (c *caller) readPeerFrames() answer {
	c.conn.SetReadDeadline(time.Now().Add(stepTimeout))
	var r peer.Reader
	var out []string
	buf := make([]byte, 4096)
	for {
		n, err := c.reader.Read(buf)
		r.Feed(buf[:n])
		for {
			f, ok, fault := r.Next()
			if fault != nil {
				return answer{text: strings.Join(append(out, fault.Code), " "), closing: true}
			}
			if !ok {
				break
			}
			out = append(out, peer.DescribeFrame(f))
		}
		if err != nil {
			return answer{text: strings.Join(append(out, describeReadError(err)), " "), closing: true}
		}
	}
}
