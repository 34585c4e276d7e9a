package live

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/google/renameio/v2"

	"whinrudder/client"
	"whinrudder/internal/lab"
)

// proxyProcess is a process of the client proxy, with a plain HTTP client that calls it.
type proxyProcess struct {
	addr    string
	process *exec.Cmd
	client  *http.Client
	cancel  context.CancelFunc
	done    chan struct{} // closed when the watch of the node list has ended
}

// proxyError is the failure of a call through a proxy. Its status is 0 if no complete answer was received.
type proxyError struct {
	status int
	reason string
}

func (e *proxyError) Error() string { return fmt.Sprint("proxy: ", e.status, " ", e.reason) }

// startProxy starts a proxy and waits until it is healthy. The proxy reads the nodes from a file that is updated with
// the list lag of the day.
func startProxy(ctx context.Context, h *Host, program string, number int,
	protocol client.Protocol) (*proxyProcess, error) {
	addr, err := lab.FreeAddr()
	if err != nil {
		return nil, err
	}
	p := &proxyProcess{addr: addr, client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 256, DisableCompression: true}}, done: make(chan struct{})}
	ctx, p.cancel = context.WithCancel(ctx)
	file := filepath.Join(h.dir, fmt.Sprint("nodes", number))
	written := make(chan struct{})
	go func() {
		defer close(p.done)
		lastText := "none"
		h.Watch(ctx, func(_ time.Time, nodes []client.Node) {
			var text strings.Builder
			for _, n := range nodes {
				fmt.Fprintln(&text, n.Name, n.Addr)
			}
			if text.String() == lastText {
				return
			}
			if renameio.WriteFile(file, []byte(text.String()), 0o600) == nil && lastText == "none" {
				close(written)
			}
			lastText = text.String()
		})
	}()
	<-written
	args := []string{"proxy", "--listen", addr, "--nodes-file", file, "--protocol", string(protocol), "--number",
		strconv.Itoa(number)}
	for _, class := range h.day.Classes {
		name := class.Name
		if class.Write {
			name += ":write"
		}
		args = append(args, "--class", name)
	}
	p.process = exec.Command(program, args...)
	p.process.Stderr = os.Stderr
	if err := p.process.Start(); err != nil {
		p.cancel()
		return nil, err
	}
	if err := lab.WaitHealthy(ctx, addr); err != nil {
		p.stop()
		return nil, fmt.Errorf("live: the proxy at %s is not ready: %w", addr, err)
	}
	return p, nil
}

// stop shuts the process down gracefully by SIGTERM and waits until it has exited.
func (p *proxyProcess) stop() {
	p.process.Process.Signal(syscall.SIGTERM)
	p.process.Wait()
	p.cancel()
	<-p.done
	p.client.CloseIdleConnections()
}

// Do makes a call through the proxy, which may take until the deadline of the context. The context must have one.
func (p *proxyProcess) Do(ctx context.Context, r client.Request) (*client.Response, error) {
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+p.addr+"/rpc/"+r.Class, bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	deadline, _ := ctx.Deadline()
	for k, v := range map[string]string{
		"Req-Wait-Ms": fmt.Sprintf("%.1f", float64(time.Until(deadline))/float64(time.Millisecond)),
		"Req-Kb":      fmt.Sprintf("%.1f", r.KB), "Req-Rank": fmt.Sprintf("%.4f", r.Rank)} {
		req.Header.Set(k, v)
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return nil, &proxyError{0, "late"}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, &proxyError{0, "broken"}
	}
	if resp.StatusCode != http.StatusOK {
		return nil, &proxyError{resp.StatusCode, resp.Header.Get("Srv-Reason")}
	}
	return &client.Response{Body: body, Node: resp.Header.Get("Srv-Node")}, nil
}
