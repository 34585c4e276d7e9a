package zk

import (
	"bytes"
	"fmt"
	"os"
	"strings"

	"github.com/go-zookeeper/zk"
)

// maxAuthBytes is the maximum size of the credentials.
const maxAuthBytes = 1 << 10

// ReadAuth reads credentials of ZooKeeper's digest scheme, USER:PASSWORD, from a file of one line. No error text
// contains what is in the file. With an empty path it returns nil: no credentials.
func ReadAuth(path string) ([]byte, error) {
	if path == "" {
		return nil, nil
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("zookeeper.auth_file: %w", err)
	}
	b = bytes.TrimRight(b, "\r\n")
	user, password, ok := bytes.Cut(b, []byte(":"))
	if !ok || len(user) == 0 || len(password) == 0 || len(b) > maxAuthBytes || bytes.ContainsAny(b, "\r\n\x00") {
		return nil, fmt.Errorf("zookeeper.auth_file: %s is not one line USER:PASSWORD of at most %d bytes",
			path, maxAuthBytes)
	}
	return b, nil
}

// aclFor returns the access rights of the znodes that a node creates: with credentials, their owner may do everything
// and all others may read; without, everybody may do everything.
func aclFor(auth []byte) []zk.ACL {
	user, password, ok := strings.Cut(string(auth), ":")
	if !ok {
		return zk.WorldACL(zk.PermAll)
	}
	return append(zk.DigestACL(zk.PermAll, user, password), zk.WorldACL(zk.PermRead)...)
}
