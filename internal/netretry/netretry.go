// Package netretry opens listeners although the system may lack what they need for a moment.
package netretry

import (
	"errors"
	"net"
	"syscall"
	"time"

	"whinrudder/internal/clock"
)

const (
	listenTimeoutMs = 5000 // how long the system may lack something
	retryPauseMs    = 50
)

// transientErrors are the reasons for which socket, bind and listen may fail for a moment.
var transientErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
	syscall.ENETUNREACH, syscall.EAGAIN, syscall.EINTR}

// Listen listens on a TCP address. It retries while the error is one that may pass.
func Listen(addr string) (net.Listener, error) {
	return retry(func() (net.Listener, error) { return net.Listen("tcp", addr) }, clock.Now()+listenTimeoutMs)
}

// retry calls listen until it succeeds, fails for good, or the time is over.
func retry(listen func() (net.Listener, error), by float64) (net.Listener, error) {
	for {
		l, err := listen()
		if err == nil || !transient(err) || clock.Now() >= by {
			return l, err
		}
		time.Sleep(retryPauseMs * time.Millisecond)
	}
}

// transient reports whether an error may pass.
func transient(err error) bool {
	for _, t := range transientErrors {
		if errors.Is(err, t) {
			return true
		}
	}
	return false
}
