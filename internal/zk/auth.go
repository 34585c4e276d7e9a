package zk

import (
	"bytes"
	"fmt"
	"os"
	"strings"

	"github.com/go-zookeeper/zk"
)

// maxAuth bounds a file of credentials, in bytes.
const maxAuth = 1 << 10

// ReadAuth reads USER:PASSWORD of ZooKeeper's digest scheme from a file of one line. No error names what is in it. An empty path
// is no credentials.
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
	if !ok || len(user) == 0 || len(password) == 0 || len(b) > maxAuth || bytes.ContainsAny(b, "\r\n\x00") {
		return nil, fmt.Errorf("zookeeper.auth_file: %s holds no line USER:PASSWORD of %d bytes at most", path, maxAuth)
	}
	return b, nil
}

// rights are who may do what to the znodes that are made: with credentials, whoever has them everything, and all others read.
func rights(auth []byte) []zk.ACL {
	user, password, ok := strings.Cut(string(auth), ":")
	if !ok {
		return zk.WorldACL(zk.PermAll)
	}
	return append(zk.DigestACL(zk.PermAll, user, password), zk.WorldACL(zk.PermRead)...)
}
