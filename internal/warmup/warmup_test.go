package warmup

import (
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"whinrudder"
	"whinrudder/internal/core"
	"whinrudder/internal/eventlog"
	"whinrudder/internal/knowledge"
	"whinrudder/internal/peer"
	"whinrudder/internal/peertls"
	"whinrudder/internal/settings"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// patience bounds each wait. It decides no outcome.
const patience = 10 * time.Second

// toy is a node around the part under test: its core knows two classes.
type toy struct {
	t      *testing.T
	w      *WarmUp
	mu     sync.Mutex
	lines  []string
	priors []knowledge.Prior
	asked  int
	known  bool
	inHand int
}

func node(t *testing.T, name string, cfg settings.PeerConfig) *toy {
	n := &toy{t: t, known: true}
	cfg.HalfLifeMs, cfg.MaxAgeMs = 180e3, 900e3
	if cfg.FetchTimeoutMs == 0 {
		cfg.FetchTimeoutMs = 5000
	}
	if cfg.SnapshotIntervalMs == 0 {
		cfg.SnapshotIntervalMs = 3600e3
	}
	class := whinrudder.Class{Aim: 1000, Deadline: 3000, Repeat: whinrudder.Safe}
	h := Host{Name: name, Submit: n.tell, Log: n.log, PendingRequests: func() int { return n.inHand },
		CurrentSettings: func() ([]string, whinrudder.Settings) {
			return []string{"status", "book"}, whinrudder.Settings{Cores: 4, Classes: []whinrudder.Class{class, class}}
		}}
	w, err := Start(h, cfg)
	if err != nil {
		t.Fatal(err)
	}
	n.w = w
	t.Cleanup(func() { w.EndShutdown(now() + 5000) })
	return n
}

func (n *toy) tell(i core.Input) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch i := i.(type) {
	case core.QueryKnowledge:
		n.asked++
		i.Reply(whinrudder.Knowledge{Limit: whinrudder.Estimate{Value: 2, N: 9}, Classes: []whinrudder.ClassKnowledge{
			{Cost: whinrudder.CostModel{N: 100, Time: 200}}, {Cost: whinrudder.CostModel{N: 50, Time: 300}}}}, n.known)
	case core.AdoptPrior:
		n.priors = append(n.priors, i.Prior)
	}
}

func (n *toy) log(word string, pairs ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	line := strings.TrimSpace(string(eventlog.AppendText(nil, time.Now(), word, pairs)))
	n.lines = append(n.lines, line[strings.IndexByte(line, ' ')+1:])
}

// line waits for a line that holds all of some words.
func (n *toy) line(words ...string) string {
	n.t.Helper()
	for late := time.Now().Add(patience); time.Now().Before(late); time.Sleep(time.Millisecond) {
		n.mu.Lock()
		for _, l := range n.lines {
			all := true
			for _, w := range words {
				all = all && strings.Contains(l, w)
			}
			if all {
				n.mu.Unlock()
				return l
			}
		}
		n.mu.Unlock()
	}
	n.t.Fatalf("no line with %q in %q", words, n.lines)
	return ""
}

// lend makes the keys of a node by an authority, good from one time to another.
func lend(t *testing.T, a *peertls.Authority, name string, from, to time.Duration) peertls.Files {
	t.Helper()
	f, err := a.Issue(t.TempDir(), "k", name, time.Now().Add(from), time.Now().Add(to))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func authority(t *testing.T) *peertls.Authority {
	t.Helper()
	a, err := peertls.NewAuthority(time.Now().Add(-time.Hour), time.Now().Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func with(f peertls.Files, p settings.PeerConfig) settings.PeerConfig {
	p.CertFile, p.KeyFile, p.AuthorityFile, p.PeerName = f.Cert, f.Key, f.Authority, f.PeerName
	return p
}

func ask(n *toy, f peertls.Files) (knowledge.Report, string) {
	n.t.Helper()
	var ring *peertls.Credentials
	if f.Cert != "" {
		var err error
		if ring, err = peertls.Load(f); err != nil {
			n.t.Fatal(err)
		}
	}
	r, err := FetchReport(n.w.Addr(), "taker", ring, now()+5000)
	var bad *peer.Fault
	if errors.As(err, &bad) {
		return r, bad.Code
	}
	return r, ""
}

// Who has not the right certificate gets a close and a code on both sides, and learns nothing.
func TestKeys(t *testing.T) {
	ours, theirs := authority(t), authority(t)
	good := lend(t, ours, "fleet", -time.Hour, time.Hour)
	mixed := good // their certificate, our authority: the giver can't be blamed
	foreign := lend(t, theirs, "fleet", -time.Hour, time.Hour)
	mixed.Cert, mixed.Key = foreign.Cert, foreign.Key
	for _, c := range []struct {
		name         string
		files        peertls.Files
		taker, giver string
	}{
		{"good", good, "", "given"},
		{"another good one", lend(t, ours, "fleet", -time.Hour, time.Hour), "", "given"},
		{"expired", lend(t, ours, "fleet", -2*time.Hour, -time.Hour), "cert-refused", "cert-expired"},
		{"not yet good", lend(t, ours, "fleet", time.Hour, 2*time.Hour), "cert-refused", "cert-expired"},
		{"another authority's", mixed, "cert-refused", "cert-foreign"},
		{"of another authority altogether", foreign, "cert-foreign", "cert-refused"},
		{"plain text", peertls.Files{}, "unreached", "no-tls"},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := node(t, "giver", with(good, settings.PeerConfig{Listen: "127.0.0.1:0"}))
			n.t = t
			r, code := ask(n, c.files)
			if code != c.taker || (len(r.Classes) > 0) != (c.taker == "") {
				t.Errorf("taker: want code %q, got %q with %d classes", c.taker, code, len(r.Classes))
			}
			n.line("side=give", "code="+c.giver)
			if n.asked > 0 != (c.giver == "given") {
				t.Errorf("the core was asked %d times", n.asked)
			}
		})
	}
	t.Run("another name", func(t *testing.T) {
		n := node(t, "giver", with(good, settings.PeerConfig{Listen: "127.0.0.1:0"}))
		f := lend(t, ours, "other-fleet", -time.Hour, time.Hour)
		if _, code := ask(n, f); code != "cert-name" {
			t.Errorf("want cert-name, got %q", code)
		}
		// One that would take the giver's name for its own is refused by the giver.
		c, err := net.Dial("tcp", n.w.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		n.line("side=give", "code=cert-refused")
	})
}

// The keys are read again without a break: a connection that is open goes on, the next ones meet the new keys, and
// faulty files change nothing.
func TestReloadOfKeysKeepsTransfers(t *testing.T) {
	ours, theirs := authority(t), authority(t)
	dir := t.TempDir()
	from, to := time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
	f, err := ours.Issue(dir, "k", "fleet", from, to)
	if err != nil {
		t.Fatal(err)
	}
	old := lend(t, ours, "fleet", -time.Hour, time.Hour)
	n := node(t, "giver", with(f, settings.PeerConfig{Listen: "127.0.0.1:0"}))
	ring, err := peertls.Load(old)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := net.Dial("tcp", n.w.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	c := ring.Client(raw)
	taker, hello := peer.NewReceiverConn("half-way")
	c.Write(hello)
	buf := make([]byte, 4096)
	for news := peer.EventNone; news != peer.EventWelcome; {
		k, err := c.Read(buf)
		if err != nil {
			t.Fatal(err)
		}
		news, _ = taker.Feed(buf[:k])
	}
	if err := os.WriteFile(f.Cert, []byte("no certificate"), 0o600); err != nil {
		t.Fatal(err)
	}
	n.w.Reload()
	n.line("code=keys-faulty")
	if _, code := ask(n, old); code != "" {
		t.Errorf("faulty files took the old keys away: %s", code)
	}
	if _, err := theirs.Issue(dir, "k", "fleet", from, to); err != nil {
		t.Fatal(err)
	}
	n.w.Reload()
	n.line("code=keys-read")
	if _, code := ask(n, old); code != "cert-foreign" {
		t.Errorf("want the new keys met, got %q", code)
	}
	c.Write(taker.RequestSections())
	for news := peer.EventNone; news != peer.EventComplete; {
		k, err := c.Read(buf)
		if err != nil {
			t.Fatalf("the open transfer was dropped: %v", err)
		}
		news, _ = taker.Feed(buf[:k])
	}
}

// Twenty successors at once cost the donor's core one export, some are served, and the rest are told when to come back.
func TestTwentyTakersAtOnce(t *testing.T) {
	for _, full := range []bool{false, true} {
		n := node(t, "giver", settings.PeerConfig{Listen: "127.0.0.1:0", Plaintext: true})
		if full {
			n.inHand = 100
		}
		ask(n, peertls.Files{}) // the first fills what is told to all
		n.asked = 0
		n.w.mu.Lock()
		n.w.budget = peer.NewBudget(now())
		n.w.mu.Unlock()
		began := now()
		var wait sync.WaitGroup
		var mu sync.Mutex
		codes := map[string]int{}
		for range 20 {
			wait.Go(func() {
				_, code := ask(n, peertls.Files{})
				mu.Lock()
				codes[code]++
				mu.Unlock()
			})
		}
		wait.Wait()
		// The budget may gain one in the time that twenty connections take on a slow machine.
		if least := map[bool]int{false: 4, true: 2}[full]; codes[""] < least || codes[""]+codes["busy"] != 20 || codes["busy"] == 0 {
			t.Errorf("full=%t: %v", full, codes)
		}
		if n.asked > 1+int((now()-began)/freshFor) {
			t.Errorf("full=%t: the core was asked %d times", full, n.asked)
		}
	}
}

func TestSuccessorIsFedOverTLS(t *testing.T) {
	a := authority(t)
	f := lend(t, a, "fleet", -time.Hour, time.Hour)
	var donors []string
	for i := range 3 {
		d := node(t, fmt.Sprint("d", i), with(f, settings.PeerConfig{Listen: "127.0.0.1:0"}))
		d.w.Ready(false)
		donors = append(donors, d.w.Addr())
	}
	n := node(t, "s", with(f, settings.PeerConfig{Donors: donors}))
	n.line("code=over", "donors=3")
	for late := time.Now().Add(patience); time.Now().Before(late) && len(n.taught()) == 0; time.Sleep(time.Millisecond) {
	}
	p := n.taught()
	if len(p) != 1 || math.Abs(p[0].Classes[1].Cost.Time-300) > 1e-6 {
		t.Fatalf("want the donors' costs, got %+v", p)
	}
	if diff := cmp.Diff([]string{"d0", "d1", "d2"}, p[0].Donors); diff != "" {
		t.Error(diff)
	}
}

func (n *toy) taught() []knowledge.Prior {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]knowledge.Prior{}, n.priors...)
}

// A node's earlier life is a donor; a file that is torn, another node's or from the future is refused by a code.
func TestSnapshots(t *testing.T) {
	file := filepath.Join(t.TempDir(), "knowledge")
	cfg := settings.PeerConfig{SnapshotFile: file}
	first := node(t, "n1", cfg)
	first.line("side=snapshot", "code=none")
	first.w.Ready(false)
	first.w.BeginShutdown()
	first.line("side=snapshot", "code=written")
	whole, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	second := node(t, "n1", cfg)
	second.line("side=snapshot", "code=read", "runs=150")
	for late := time.Now().Add(patience); time.Now().Before(late) && len(second.taught()) == 0; time.Sleep(time.Millisecond) {
	}
	if p := second.taught(); len(p) != 1 || p[0].Classes[0].Cost.Time != 200 {
		t.Errorf("want the earlier life's costs, got %+v", p)
	}
	node(t, "n2", cfg).line("side=snapshot", "code=foreign")
	for code, text := range map[string][]byte{
		"torn":   whole[:len(whole)-5],
		"unread": make([]byte, maxSnapshot+1),
		"future": peer.AppendSnapshot(nil, knowledge.Report{Node: "n1", Cores: 4}, now()+3600e3),
	} {
		if err := os.WriteFile(file, text, 0o600); err != nil {
			t.Fatal(err)
		}
		n := node(t, "n1", cfg)
		n.line("side=snapshot", "code="+code)
		if len(n.taught()) > 0 {
			t.Errorf("%s: something was taught", code)
		}
	}
}

// A donor that is told to leave between its welcome and the take gives nothing any more, and says so.
func TestDonorThatBeginsToDrain(t *testing.T) {
	n := node(t, "giver", settings.PeerConfig{Listen: "127.0.0.1:0", Plaintext: true})
	c, err := net.Dial("tcp", n.w.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	taker, hello := peer.NewReceiverConn("late")
	c.Write(hello)
	buf := make([]byte, 4096)
	until := func(want peer.Event) {
		for news := peer.EventNone; news != want; {
			k, err := c.Read(buf)
			if err != nil {
				t.Fatal(err)
			}
			news, _ = taker.Feed(buf[:k])
		}
	}
	until(peer.EventWelcome)
	n.w.BeginShutdown()
	c.Write(taker.RequestSections())
	until(peer.EventBusy)
	if taker.Code != "draining" || taker.RetryMs != peer.MaxRetryMs {
		t.Errorf("want draining, got %s for %v", taker.Code, taker.RetryMs)
	}
	n.line("side=give", "code=draining")
}

// An address that takes a connection and no handshake holds up nobody: the round of the others is over before its line.
func TestSilentAddressDoesNotHoldUpTheOthers(t *testing.T) {
	f := lend(t, authority(t), "fleet", -time.Hour, time.Hour)
	l, err := net.Listen("tcp", "127.0.0.1:0") // takes no connection off its queue, and so says nothing
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var donors []string
	for i := range 3 {
		d := node(t, fmt.Sprint("d", i), with(f, settings.PeerConfig{Listen: "127.0.0.1:0"}))
		d.w.Ready(false)
		donors = append(donors, d.w.Addr())
	}
	n := node(t, "s", with(f, settings.PeerConfig{Donors: append(donors, l.Addr().String())}))
	n.line("code=over", "donors=3")
	n.line("side=take peer=" + l.Addr().String() + " ")
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, line := range n.lines {
		if strings.Contains(line, "code=over") {
			return
		}
		if strings.Contains(line, l.Addr().String()) {
			t.Fatalf("the round waited for the silent address: %q", n.lines)
		}
	}
}

// A taker that connects and says nothing, or no more after a part, is cut by the deadline of its connection and by the
// end of the node, and leaves one line.
func TestSilentTakersEndWithTheNode(t *testing.T) {
	n := node(t, "giver", settings.PeerConfig{Listen: "127.0.0.1:0", Plaintext: true})
	var open []net.Conn
	for range maxTakers + 3 {
		c, err := net.Dial("tcp", n.w.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		open = append(open, c)
	}
	for _, c := range open[maxTakers:] {
		n.line("side=give peer=" + c.LocalAddr().String() + " code=full")
	}
	n.w.EndShutdown(now() + 5000)
	n.mu.Lock()
	defer n.mu.Unlock()
	lines := 0
	for _, l := range n.lines {
		if strings.Contains(l, "side=give peer=") {
			lines++
		}
	}
	if lines != len(open) {
		t.Errorf("want %d lines, got %d", len(open), lines)
	}
}

func BenchmarkGive(b *testing.B) {
	r := knowledge.Report{Node: "n", Cores: 6, Classes: make([]knowledge.Class, 3)}
	for b.Loop() {
		peer.AppendSections(nil, r)
	}
}
