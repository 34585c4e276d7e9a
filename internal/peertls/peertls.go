// Package peertls provides the TLS of the peer port: mutual TLS 1.3, with certificates from files that the operator
// names. The files can be reloaded. Each failure of a handshake has a code for the log.
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

// Files holds the paths of PEM files. PeerName is the DNS name that the certificate of each peer must have, whatever
// its address.
type Files struct{ Cert, Key, Authority, PeerName string }

// DefaultPeerName is the name if the operator sets none.
const DefaultPeerName = "whinrudder-peer"

// Credentials holds the certificates that were loaded last. Connections made with earlier ones go on.
type Credentials struct {
	files   Files
	current atomic.Pointer[certificates]
}

// certificates is what one reading of the files returned.
type certificates struct {
	cert  tls.Certificate
	roots *x509.CertPool
}

// Load reads the files. The error names the file that can't be used.
func Load(f Files) (*Credentials, error) {
	if f.PeerName == "" {
		f.PeerName = DefaultPeerName
	}
	c := &Credentials{files: f}
	return c, c.Reload()
}

// Reload reads the files again. On an error the certificates of before stay in use.
func (c *Credentials) Reload() error {
	cert, err := tls.LoadX509KeyPair(c.files.Cert, c.files.Key)
	if err != nil {
		return fmt.Errorf("keys: %s, %s: %w", c.files.Cert, c.files.Key, err)
	}
	text, err := os.ReadFile(c.files.Authority)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return fmt.Errorf("keys: %s contains no certificate", c.files.Authority)
	}
	if err := cert.Leaf.VerifyHostname(c.files.PeerName); err != nil {
		return fmt.Errorf("keys: %s: %w", c.files.Cert, err)
	}
	c.current.Store(&certificates{cert, roots})
	return nil
}

// Server returns the server side of TLS on a connection, with the present certificates.
func (c *Credentials) Server(conn net.Conn) *tls.Conn {
	p := c.current.Load()
	return tls.Server(conn, &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{p.cert},
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: p.roots, SessionTicketsDisabled: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			return s.PeerCertificates[0].VerifyHostname(c.files.PeerName)
		}})
}

// Client returns the client side of TLS on a connection, with the present certificates.
func (c *Credentials) Client(conn net.Conn) *tls.Conn {
	p := c.current.Load()
	return tls.Client(conn, &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{p.cert},
		RootCAs: p.roots, ServerName: c.files.PeerName})
}

// ErrorCode returns the log code of the error that ended a handshake, or an empty string if certificates and TLS are
// not the cause.
func ErrorCode(err error) string {
	var invalid x509.CertificateInvalidError
	var unknownAuthority x509.UnknownAuthorityError
	var hostname x509.HostnameError
	var alert tls.AlertError
	var record tls.RecordHeaderError
	switch {
	case err == nil:
		return ""
	case errors.As(err, &invalid) && invalid.Reason == x509.Expired:
		return "cert-expired"
	case errors.As(err, &unknownAuthority):
		return "cert-foreign"
	case errors.As(err, &hostname):
		return "cert-name"
	case errors.As(err, &invalid):
		return "cert-unfit"
	case errors.As(err, &alert), strings.Contains(err.Error(), "remote error"):
		return "cert-refused" // the peer sent an alert
	case strings.Contains(err.Error(), "didn't provide a certificate"):
		return "cert-missing"
	case errors.As(err, &record):
		return "no-tls"
	case strings.Contains(err.Error(), "tls:"):
		return "tls"
	}
	return ""
}
