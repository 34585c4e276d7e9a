// Package template evaluates Jsonnet templates, such as an operator's file that is one. It is linked into a separate
// program, not into the node's: the tables of the Jsonnet library would cost each node memory, and an evaluation that
// does not end can be stopped by ending its process. A template can import only files of its own folder.
package template

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/google/go-jsonnet"
)

// Limits of a template.
const (
	MaxFileBytes   = 256 << 10 // size of the template and of each imported file
	MaxImports     = 32        // number of imported files
	MaxStackFrames = 200       // stack depth of the evaluation
	MaxResultBytes = 64 << 10  // size of the value as JSON
	maxTraceFrames = 4         // stack frames that an error lists
)

// Evaluate returns the value of a template as JSON. The error has the file and the line if the library reports them.
func Evaluate(text []byte, path string) (string, error) {
	if len(text) > MaxFileBytes {
		return "", fmt.Errorf("%s is larger than %d bytes", path, MaxFileBytes)
	}
	vm := jsonnet.MakeVM()
	vm.MaxStack = MaxStackFrames
	vm.ErrorFormatter.SetMaxStackTraceSize(maxTraceFrames)
	vm.Importer(&folderImporter{dir: filepath.Dir(path), read: map[string]jsonnet.Contents{}})
	json, err := vm.EvaluateAnonymousSnippet(filepath.Base(path), string(text))
	switch {
	case err != nil:
		return "", errors.New(strings.TrimSpace(err.Error()))
	case len(json) > MaxResultBytes:
		return "", fmt.Errorf("the value of %s is %d bytes, %d at most", path, len(json), MaxResultBytes)
	}
	return json, nil
}

// folderImporter imports the files of one folder, but none from folders below or above it.
type folderImporter struct {
	dir  string
	read map[string]jsonnet.Contents // files that were read, by name
}

// Import implements jsonnet.Importer. It reads each file once: the library requires the same contents for the same
// name.
func (i *folderImporter) Import(_, name string) (jsonnet.Contents, string, error) {
	if c, ok := i.read[name]; ok {
		return c, name, nil
	}
	if name != filepath.Base(name) || name == "." || name == ".." {
		return jsonnet.Contents{}, "", fmt.Errorf("%q does not lie beside the template", name)
	}
	if len(i.read) >= MaxImports {
		return jsonnet.Contents{}, "", fmt.Errorf("more than %d imports", MaxImports)
	}
	path := filepath.Join(i.dir, name)
	info, err := os.Lstat(path)
	switch {
	case err != nil:
		return jsonnet.Contents{}, "", errors.New(name + " is not there")
	case !info.Mode().IsRegular():
		return jsonnet.Contents{}, "", errors.New(name + " is not a regular file")
	case info.Size() > MaxFileBytes:
		return jsonnet.Contents{}, "", fmt.Errorf("%s is larger than %d bytes", name, MaxFileBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return jsonnet.Contents{}, "", err
	}
	i.read[name] = jsonnet.MakeContentsRaw(text)
	return i.read[name], name, nil
}
