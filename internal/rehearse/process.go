package rehearse

import (
	"context"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"

	"whinrudder/internal/node"
	"whinrudder/internal/settings"
)

// process is one process of the node, with its worker pool.
type process struct {
	node  *node.Node
	op    settings.Operator
	stop  chan os.Signal
	hup   chan os.Signal
	ended chan struct{}
	pool  *poolStandIn
}

func options() map[string]string {
	return map[string]string{"cores": "2", "aim_ms": "6000", "deadline_ms": "9000", "stop_ms": "3000",
		"sockets": "128", "fresh_ms": "0", "keepalive_ms": "30000", "deep": "true", "take_ms": "5000", "kept": "0",
		"admin": "", "listen": "127.0.0.1:0", "upgrade": "", "auth": "", "classes": "status-lookup,rate-quote,payout-book"}
}

const config = `{"name":"r1","listen":"$listen","admin":"$admin","pool":"%s","announce":"%s","seed":"8c1f30d27a5be964",
"stop_ms":$stop_ms,"limits":{"cores":1.0,"memory_mb":192,"sockets":$sockets},
"settings":{"allowed":{"max_retry_after_ms":1000,"retry_after":true},"servers":3,"tick_ms":2,"worth_by":"request",
"goal":{"whole":0.6,"worst_class":0.2,"worst_window":0.2},"rules":{"cold_from":0.2,"drain_grace_ms":2000,
"fall_multiple":8,"grace_to_answer_ms":80,"overload_for_ms":1500,"ramp_time_ms":17000},
"profiles":[$profiles],
"specifics":{"below":"silent","callers":3,"cores":$cores,"deep_checks":$deep,"fresh_ms":$fresh_ms,"halt":"abort",
"heard_for_ms":1000,"keepalive_max_ms":$keepalive_ms,"entry_kb":10,"ram_kb":90000,"run_factor":16,"say":"window",
"own_stats":["cpu_busy","runnable","mem_used","sockets"],"passes_deadline":true,"tells_gone":true}}}`

// profiles are classes by their names. One whose name begins with payout runs once.
func profiles(names string) string {
	var all []string
	for n := range strings.SplitSeq(names, ",") {
		repeat, worth := "repeatable", 1
		if strings.HasPrefix(n, "payout") {
			repeat, worth = "once", 3
		}
		all = append(all, fmt.Sprintf(`{"name":%q,"aim_ms":$aim_ms,"deadline_ms":$deadline_ms,"repeat":%q,"worth":%d}`, n, repeat, worth))
	}
	return strings.Join(all, ",")
}

// start brings the node up between its stand-ins.
func (p *player) start(args []string) (err error) {
	peered, discover := false, false
	for _, a := range args {
		k, v, _ := strings.Cut(a, "=")
		if k == "zk" {
			if p.zk == nil {
				p.zk, err = newEnsemble()
			}
			if err != nil {
				return err
			}
			continue
		}
		if k == "peers" {
			peered, discover = true, v == "discover"
			continue
		}
		if _, ok := p.opts[k]; !ok {
			return fmt.Errorf("unknown option %q", k)
		}
		p.opts[k] = v
	}
	if p.opts["listen"] == "free" { // a port that is the same in the files of a successor
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		p.opts["listen"] = l.Addr().String()
		l.Close()
	}
	if p.pool, err = newPoolStandIn(); err != nil {
		return err
	}
	if p.reports, err = newReportStandIn(); err != nil {
		return err
	}
	p.write()
	op := settings.Operator{UWSGI: "127.0.0.1:0", H2C: "127.0.0.1:0"}
	if p.zk != nil {
		op.Ensemble, op.ZNodePath, op.SessionMs = []string{p.zk.l.Addr().String()}, "/payout-nodes", 4000
	}
	if auth := p.opts["auth"]; auth != "" {
		f, err := os.CreateTemp("", "auth")
		if err != nil {
			return err
		}
		p.auth, op.AuthFile = f.Name(), f.Name() // it is read once the worker pool is up
		if _, err := fmt.Fprintln(f, auth); err != nil {
			return err
		}
		f.Close()
	}
	if peered {
		takeMs, _ := strconv.ParseFloat(p.opts["take_ms"], 64)
		op.Peer = p.peers.operator(takeMs, discover)
	}
	if n := p.opts["kept"]; n != "0" {
		if p.folder, err = os.MkdirTemp("", "kept"); err != nil {
			return err
		}
		keys, _ := strconv.Atoi(n)
		op.Kept = settings.KeptConfig{Dir: p.folder, Classes: []string{"payout-book"}, MaxOperations: keys, DiskMB: 64, SegmentMB: 1, ResultTTLMs: 3600e3, InDoubtTTLMs: 7200e3}
	}
	if p.opts["upgrade"] != "" {
		if p.shared, err = os.MkdirTemp("", "shared"); err != nil {
			return err
		}
		op.UpgradeDir = p.shared
	}
	p.op = op
	return p.launch()
}

// upgrade starts another process beside the present one, with the same addresses and a worker pool of its own.
func (p *player) upgrade() (err error) {
	if p.former != nil {
		p.former.pool.close()
	}
	old := p.process
	p.former = &old
	if p.pool, err = newPoolStandIn(); err != nil {
		return err
	}
	p.opts["listen"] = old.node.Addr("http")
	p.op.UWSGI, p.op.H2C = old.node.Addr("uwsgi"), old.node.Addr("h2c")
	p.write()
	return p.launch()
}

// asFormer carries out a line on the process that the present one is to succeed.
func (p *player) asFormer(line string) (string, error) {
	if p.former == nil {
		return "", fmt.Errorf("there is no former process")
	}
	p.process, *p.former = *p.former, p.process
	defer func() { p.process, *p.former = *p.former, p.process }()
	out, err := p.step(line)
	return "former " + out, err
}

// fall kills the present process, as a crash would. The former one is the present one again.
func (p *player) fall() error {
	if p.former == nil {
		return fmt.Errorf("there is no former process")
	}
	p.node.Kill()
	<-p.ended
	p.pool.close()
	p.process, p.former = *p.former, nil
	return nil
}

// launch starts a node.
func (p *player) launch() error {
	cfg, err := settings.ParseConfig([]byte(p.file))
	if err != nil {
		return err
	}
	op := p.op
	next, err := node.New(cfg, op, p.log)
	if err != nil {
		return err // the process before stays this one's: close ends it
	}
	if err := next.Listen(); err != nil {
		return err
	}
	p.node, p.stop, p.hup, p.ended = next, make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan struct{})
	ended := p.ended
	go func() {
		next.Run(context.Background(), p.stop, p.hup, func() (settings.Config, settings.Operator, error) {
			p.mu.Lock()
			defer p.mu.Unlock()
			cfg, err := settings.ParseConfig([]byte(p.file))
			return cfg, op, err
		})
		close(ended)
	}()
	return nil
}

// restart kills the node, as a crash of its process would, and starts another on what it left.
func (p *player) restart() error {
	p.node.Kill()
	<-p.ended
	return p.launch()
}

// write puts the present addresses and options into the file.
func (p *player) write() {
	text := fmt.Sprintf(config, p.pool.l.Addr(), p.reports.c.LocalAddr())
	text = strings.ReplaceAll(text, "$profiles", profiles(p.opts["classes"]))
	for k, v := range p.opts {
		text = strings.ReplaceAll(text, "$"+k, v)
	}
	p.mu.Lock()
	p.file = text
	p.mu.Unlock()
}

// reload changes the file and tells the node.
func (p *player) reload(args []string) (err error) {
	if slices.Equal(args, []string{"faulty"}) {
		p.mu.Lock()
		p.file = "{"
		p.mu.Unlock()
	} else if len(args) == 2 && args[0] == "lacking" {
		p.write()
		p.mu.Lock()
		p.file = strings.ReplaceAll(p.file, `"`+args[1]+`":`, `"other":`)
		p.mu.Unlock()
	} else {
		for _, a := range args {
			k, v, _ := strings.Cut(a, "=")
			p.opts[k] = v
		}
		if err = p.pool.listen(); err == nil {
			err = p.reports.listen()
		}
		if err != nil {
			return err
		}
		p.write()
	}
	p.hup <- syscall.SIGHUP
	return nil
}
