// Package peertls is the keys of the peer port: TLS 1.3 with certificates of both sides, from files that an operator names
// and that are read again when asked. What goes wrong has a code for the log.
package peertls

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync/atomic"
)

// Files are PEM files. Name is what the certificate of each peer must be made out to, whatever its address.
type Files struct{ Cert, Key, Authority, PeerName string }

// DefaultPeerName is the name where an operator gives none.
const DefaultPeerName = "whinrudder-peer"

// Credentials holds the present keys. Connections that were made with earlier ones go on.
type Credentials struct {
	files Files
	now   atomic.Pointer[pair]
}

type pair struct {
	cert  tls.Certificate
	roots *x509.CertPool
}

// Load reads the files. The error names the file that is of no use.
func Load(f Files) (*Credentials, error) {
	if f.PeerName == "" {
		f.PeerName = DefaultPeerName
	}
	r := &Credentials{files: f}
	return r, r.Reload()
}

// Reload reads the files again. If they are of no use, the keys stay as they were.
func (r *Credentials) Reload() error {
	cert, err := tls.LoadX509KeyPair(r.files.Cert, r.files.Key)
	if err != nil {
		return fmt.Errorf("keys: %s, %s: %w", r.files.Cert, r.files.Key, err)
	}
	text, err := os.ReadFile(r.files.Authority)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return fmt.Errorf("keys: %s holds no certificate", r.files.Authority)
	}
	if err := cert.Leaf.VerifyHostname(r.files.PeerName); err != nil {
		return fmt.Errorf("keys: %s: %w", r.files.Cert, err)
	}
	r.now.Store(&pair{cert, roots})
	return nil
}

// Server returns the side that accepts. Each handshake takes the keys that are present then.
func (r *Credentials) Server(c net.Conn) *tls.Conn {
	p := r.now.Load()
	return tls.Server(c, &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{p.cert},
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: p.roots, SessionTicketsDisabled: true,
		VerifyConnection: func(s tls.ConnectionState) error { return s.PeerCertificates[0].VerifyHostname(r.files.PeerName) }})
}

// Client returns the side that connects.
func (r *Credentials) Client(c net.Conn) *tls.Conn {
	p := r.now.Load()
	return tls.Client(c, &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{p.cert}, RootCAs: p.roots,
		ServerName: r.files.PeerName})
}

// ErrorCode returns the code of what ended a handshake, or an empty one if it was no matter of keys.
func ErrorCode(err error) string {
	var invalid x509.CertificateInvalidError
	var foreign x509.UnknownAuthorityError
	var name x509.HostnameError
	var alert tls.AlertError
	var record tls.RecordHeaderError
	switch {
	case err == nil:
		return ""
	case errors.As(err, &invalid) && invalid.Reason == x509.Expired:
		return "cert-expired"
	case errors.As(err, &foreign):
		return "cert-foreign"
	case errors.As(err, &name):
		return "cert-name"
	case errors.As(err, &invalid):
		return "cert-unfit"
	case errors.As(err, &alert), strings.Contains(err.Error(), "remote error"):
		return "cert-refused" // the other side said so
	case strings.Contains(err.Error(), "didn't provide a certificate"):
		return "cert-missing"
	case errors.As(err, &record):
		return "no-tls"
	case strings.Contains(err.Error(), "tls:"):
		return "tls"
	}
	return ""
}
