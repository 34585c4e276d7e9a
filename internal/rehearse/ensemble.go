package rehearse

import (
	"errors"
	"net"
)

type ensemble struct{ l net.Listener }

func newEnsemble() (*ensemble, error) { return nil, errors.New("no ensemble yet") }

func (e *ensemble) step(line, word, text string) (string, error) { return line, nil }
func (e *ensemble) close()                                       { e.l.Close() }
