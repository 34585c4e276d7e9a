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
	"time"

	"whinrudder/internal/node"
	"whinrudder/internal/settings"
)

// process is one process of the node, with its fake worker pool.
type process struct {
	node     *node.Node
	operator settings.Operator
	stop     chan os.Signal // receives the signal to drain
	hangup   chan os.Signal // receives SIGHUP, the signal to reload
	ended    chan struct{}  // closed when the node's Run has returned
	pool     *fakePool
}

// defaultOptions returns the options of the step node with their default values. Most are placeholders of
// configTemplate; start and writeConfig read the others.
func defaultOptions() map[string]string {
	return map[string]string{"cores": "2", "aim_ms": "6000", "deadline_ms": "9000", "stop_ms": "3000",
		"sockets": "128", "fresh_ms": "0", "keepalive_ms": "30000", "deep": "true", "take_ms": "5000", "kept": "0",
		"admin": "", "listen": "127.0.0.1:0", "upgrade": "", "auth": "", "classes": "status-lookup,rate-quote,payout-book"}
}

// configTemplate is the node's configuration. The two %s are the addresses of the worker pool and of the announce
// service; $profiles is replaced by classProfiles and $KEY by the option KEY.
const configTemplate = `{"name":"r1","listen":"$listen","admin":"$admin","pool":"%s","announce":"%s","seed":"8c1f30d27a5be964",
"stop_ms":$stop_ms,"limits":{"cores":1.0,"memory_mb":192,"sockets":$sockets},
"settings":{"allowed":{"max_retry_after_ms":1000,"retry_after":true},"servers":3,"tick_ms":2,"worth_by":"request",
"goal":{"whole":0.6,"worst_class":0.2,"worst_window":0.2},"rules":{"cold_from":0.2,"drain_grace_ms":2000,
"fall_multiple":8,"grace_to_answer_ms":80,"overload_for_ms":1500,"ramp_time_ms":17000},
"profiles":[$profiles],
"specifics":{"below":"silent","callers":3,"cores":$cores,"deep_checks":$deep,"fresh_ms":$fresh_ms,"halt":"abort",
"heard_for_ms":1000,"keepalive_max_ms":$keepalive_ms,"entry_kb":10,"ram_kb":90000,"run_factor":16,"say":"window",
"own_stats":["cpu_busy","runnable","mem_used","sockets"],"passes_deadline":true,"tells_gone":true}}}`

// classProfiles returns the profiles of the classes with the given comma-separated names. Classes whose name begins
// with payout must run at most once; the others are repeatable.
func classProfiles(names string) string {
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

// start starts the fakes and then the node, with the options in args.
func (p *player) start(args []string) (err error) {
	peered, discover := false, false
	for _, a := range args {
		k, v, _ := strings.Cut(a, "=")
		if k == "zk" {
			if p.zk == nil {
				p.zk, err = newFakeEnsemble()
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
		if _, ok := p.options[k]; !ok {
			return fmt.Errorf("unknown option %q", k)
		}
		p.options[k] = v
	}
	if p.options["listen"] == "free" { // a successor's configuration must have the same port
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		p.options["listen"] = l.Addr().String()
		l.Close()
	}
	if p.pool, err = newFakePool(); err != nil {
		return err
	}
	if p.announce, err = newFakeAnnounce(); err != nil {
		return err
	}
	p.writeConfig()
	operator := settings.Operator{UWSGI: "127.0.0.1:0", H2C: "127.0.0.1:0"}
	if p.zk != nil {
		operator.Ensemble, operator.ZNodePath, operator.SessionMs = []string{p.zk.listener.Addr().String()},
			"/payout-nodes", 4000
	}
	if auth := p.options["auth"]; auth != "" {
		f, err := os.CreateTemp("", "auth")
		if err != nil {
			return err
		}
		p.authFile, operator.AuthFile = f.Name(), f.Name() // the node reads it once the worker pool is up
		if _, err := fmt.Fprintln(f, auth); err != nil {
			return err
		}
		f.Close()
	}
	if peered {
		takeMs, _ := strconv.ParseFloat(p.options["take_ms"], 64)
		operator.Peer = p.donors.peerConfig(takeMs, discover)
	}
	if maxKept := p.options["kept"]; maxKept != "0" {
		if p.keptDir, err = os.MkdirTemp("", "kept"); err != nil {
			return err
		}
		keys, _ := strconv.Atoi(maxKept)
		operator.Kept = settings.KeptConfig{Dir: p.keptDir, Classes: []string{"payout-book"}, MaxOperations: keys, DiskMB: 64,
			SegmentMB: 1, ResultTTLMs: 3600e3, InDoubtTTLMs: 7200e3}
	}
	if p.options["upgrade"] != "" {
		if p.upgradeDir, err = os.MkdirTemp("", "shared"); err != nil {
			return err
		}
		operator.UpgradeDir = p.upgradeDir
	}
	p.operator = operator
	return p.launch()
}

// upgrade starts another process beside the current one, with the same addresses and a worker pool of its own. The
// new process becomes the current one.
func (p *player) upgrade() (err error) {
	if p.former != nil {
		p.former.pool.close()
	}
	former := p.process
	for deadline := time.Now().Add(stepTimeout); !former.node.SuccessorFindsNode() && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond) // as an operator would, who waits until the process is ready
	}
	p.former = &former
	if p.pool, err = newFakePool(); err != nil {
		return err
	}
	p.options["listen"] = former.node.Addr("http")
	p.operator.UWSGI, p.operator.H2C = former.node.Addr("uwsgi"), former.node.Addr("h2c")
	p.writeConfig()
	return p.launch()
}

// asFormer carries out the step line on the former process, which the current one succeeds.
func (p *player) asFormer(line string) (string, error) {
	if p.former == nil {
		return "", fmt.Errorf("there is no former process")
	}
	p.process, *p.former = *p.former, p.process
	defer func() { p.process, *p.former = *p.former, p.process }()
	out, err := p.step(line)
	return "former " + out, err
}

// fall kills the current process, as a crash would. The former process becomes the current one again.
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

// launch starts a node with the current configuration as the current process.
func (p *player) launch() error {
	cfg, err := settings.ParseConfig([]byte(p.config))
	if err != nil {
		return err
	}
	operator := p.operator
	next, err := node.New(cfg, operator, p.log)
	if err != nil {
		return err // p.process keeps the fields of the previous process, which close ends
	}
	if err := next.Listen(); err != nil {
		return err
	}
	p.node, p.stop, p.hangup, p.ended = next, make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan struct{})
	started := p.process // another process may become the current one
	go func() {
		next.Run(context.Background(), started.stop, started.hangup, func() (settings.Config, settings.Operator, error) {
			p.mu.Lock()
			defer p.mu.Unlock()
			cfg, err := settings.ParseConfig([]byte(p.config))
			return cfg, operator, err
		})
		close(started.ended)
	}()
	return nil
}

// restart kills the node, as a crash of its process would, and starts another one on its stored state.
func (p *player) restart() error {
	p.node.Kill()
	<-p.ended
	return p.launch()
}

// writeConfig renders the node's configuration from the current addresses and options.
func (p *player) writeConfig() {
	text := fmt.Sprintf(configTemplate, p.pool.listener.Addr(), p.announce.conn.LocalAddr())
	text = strings.ReplaceAll(text, "$profiles", classProfiles(p.options["classes"]))
	for k, v := range p.options {
		text = strings.ReplaceAll(text, "$"+k, v)
	}
	p.mu.Lock()
	p.config = text
	p.mu.Unlock()
}

// reload changes the configuration as args say and sends SIGHUP to the node.
func (p *player) reload(args []string) (err error) {
	if slices.Equal(args, []string{"faulty"}) {
		p.mu.Lock()
		p.config = "{"
		p.mu.Unlock()
	} else if len(args) == 2 && args[0] == "lacking" {
		p.writeConfig()
		p.mu.Lock()
		p.config = strings.ReplaceAll(p.config, `"`+args[1]+`":`, `"other":`)
		p.mu.Unlock()
	} else {
		for _, a := range args {
			k, v, _ := strings.Cut(a, "=")
			p.options[k] = v
		}
		if err = p.pool.listen(); err == nil {
			err = p.announce.listen()
		}
		if err != nil {
			return err
		}
		p.writeConfig()
	}
	p.hangup <- syscall.SIGHUP
	return nil
}
