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

// donorStandIn is a toy donor on a loopback port. It does what its script says to every taker:
//
//	donor NAME time=MS runs=N age=MS   gives the classes in the relation 1, 0.6, 1.1 to that time
//	      wrong=CLASS:FACTOR           one class is off by a factor
//	      draining, cold               says so of itself
//	      busy=MS                      puts the first taker off for so long
//	      mute                         takes connections and says nothing
//	      garbage                      answers in another protocol
//	      huge                         a valid head that announces 4 GiB in place of a section
//	      half                         hangs after half a frame
//	      die=N                        closes after N bytes of the sections
//	      drains                       one section, then a refusal as it drains
type donorStandIn struct {
	l      net.Listener
	f      map[string]string
	name   string
	busied bool
}

func newDonor(name, script string) (*donorStandIn, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &donorStandIn{l: l, f: map[string]string{"time": "300", "runs": "100", "age": "0"}, name: name}
	for w := range strings.FieldsSeq(script) {
		k, v, _ := strings.Cut(w, "=")
		d.f[k] = or(v, "yes")
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

func (d *donorStandIn) num(key string) float64 {
	v, _ := strconv.ParseFloat(d.f[key], 64)
	return v
}

// report is what the donor knows.
func (d *donorStandIn) report() knowledge.Report {
	r := knowledge.Report{Node: d.name, Uptime: 60000, Cores: 2, Warm: d.f["cold"] == "", Draining: d.f["draining"] != "",
		Limit: whinrudder.Estimate{Value: 2, N: 50, Age: d.num("age")}}
	wrong, by, _ := strings.Cut(d.f["wrong"], ":")
	for i, n := range []string{"status-lookup", "rate-quote", "payout-book"} {
		t := d.num("time") * []float64{1, 0.6, 1.1}[i]
		if n == wrong {
			f, _ := strconv.ParseFloat(by, 64)
			t *= f
		}
		r.Classes = append(r.Classes, knowledge.Class{Name: n, ClassKnowledge: whinrudder.ClassKnowledge{Share: 1,
			Cost: whinrudder.CostModel{N: d.num("runs"), Age: d.num("age"), Time: t}}})
	}
	return r
}

func (d *donorStandIn) serve(c net.Conn) {
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	g := peer.NewSourceConn(0)
	buf := make([]byte, 4096)
	for {
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		if d.f["mute"] != "" {
			continue
		}
		step, out, bad := g.Feed(buf[:n])
		switch {
		case step == peer.StepSendWelcome && d.f["garbage"] != "":
			out, bad = []byte("HTTP/1.1 400 Bad Request\r\n\r\n"), &peer.Fault{}
		case step == peer.StepSendWelcome && d.f["busy"] != "" && !d.busied:
			d.busied = true
			_, out, bad = g.SendBusy("busy", d.num("busy"))
		case step == peer.StepSendWelcome:
			_, out, bad = g.SendWelcome(peer.SummaryOf(d.report()))
		case step == peer.StepSendReport:
			_, out, _ = g.SendReport(d.report())
			out, bad = d.spoil(out), &peer.Fault{}
		}
		c.Write(out)
		if d.f["half"] != "" && step == peer.StepSendReport {
			time.Sleep(patience) // the taker closes long before
			return
		}
		if bad != nil {
			return
		}
	}
}

// spoil makes of whole sections what the script wants to come.
func (d *donorStandIn) spoil(whole []byte) []byte {
	switch {
	case d.f["huge"] != "":
		return []byte("\x57\x4b\x01\x04\xff\xff\xff\xff\x00\x00\x00\x00\x00\x00\x00\x00")
	case d.f["half"] != "":
		return whole[:20]
	case d.f["die"] != "":
		return whole[:min(len(whole), int(d.num("die")))]
	case d.f["drains"] != "":
		one := knowledge.Report{Classes: d.report().Classes[:1]}
		first := peer.AppendSections(nil, one)
		var r peer.Reader
		r.Feed(first)
		f, _, _ := r.Next()
		return peer.AppendRefuse(peer.AppendFrame(nil, f), "draining")
	}
	return whole
}

// peers is what an exchange has of the peer protocol.
type peers struct {
	names  []string
	donors map[string]*donorStandIn
}

func (p *peers) add(line, name, script string) (string, error) {
	d, err := newDonor(name, script)
	if err != nil {
		return "", err
	}
	if p.donors == nil {
		p.donors = map[string]*donorStandIn{}
	}
	p.names, p.donors[name] = append(p.names, name), d
	return line, nil
}

// operator is the section of an operator's file that names all donors, or lets them be found among the znodes.
func (p *peers) operator(takeMs float64, discover bool) settings.PeerConfig {
	o := settings.PeerConfig{Listen: "127.0.0.1:0", Plaintext: true, FetchTimeoutMs: takeMs, HalfLifeMs: 180e3, MaxAgeMs: 900e3, Discover: discover}
	for _, n := range p.names {
		if discover {
			break
		}
		o.Donors = append(o.Donors, p.donors[n].l.Addr().String())
	}
	return o
}

func (p *peers) close() {
	for _, d := range p.donors {
		d.l.Close()
	}
}

// step carries out a step of the peer protocol.
func (p *player) peerStep(line, word, name, more string) (string, error) {
	switch word {
	case "taker":
		r, err := warmup.FetchReport(p.node.PeerAddr(), name, nil, float64(time.Now().Add(patience).UnixMilli()))
		var bad *peer.Fault
		if errors.As(err, &bad) {
			return "taker " + name + " " + bad.Code, nil
		}
		if err != nil {
			return "taker " + name + " failed", nil
		}
		return fmt.Sprintf("taker %s whole classes=%d draining=%t", name, len(r.Classes), r.Draining), nil
	case "prior":
		text, _, _ := strings.Cut(p.log.wait(func() string { return p.log.shift(&p.log.priors) }), " factor=")
		return "prior " + text, nil
	case "peer":
		if name == "over" {
			return "peer over " + p.log.wait(func() string { return p.log.shift(&p.log.over) }), nil
		}
		donor, _, _ := strings.Cut(more, " ")
		if p.peers.donors[donor] == nil {
			return "", fmt.Errorf("no donor %q", donor)
		}
		addr := p.peers.donors[donor].l.Addr().String()
		return "peer take " + donor + " " + p.log.wait(func() string {
			list := p.log.taken[addr]
			text := p.log.shift(&list)
			p.log.taken[addr] = list
			return text
		}), nil
	}
	return "", fmt.Errorf("unknown step %q", line)
}

// hearPeer reads what a node's peer port says until it closes, as the names and codes of its frames.
func (c *caller) hearPeer() heard {
	c.c.SetReadDeadline(time.Now().Add(patience))
	var r peer.Reader
	var out []string
	buf := make([]byte, 4096)
	for {
		n, err := c.r.Read(buf)
		r.Feed(buf[:n])
		for {
			f, ok, bad := r.Next()
			if bad != nil {
				return heard{text: strings.Join(append(out, bad.Code), " "), last: true}
			}
			if !ok {
				break
			}
			out = append(out, peer.DescribeFrame(f))
		}
		if err != nil {
			return heard{text: strings.Join(append(out, plain(err)), " "), last: true}
		}
	}
}
