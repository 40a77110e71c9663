// Package traces holds the traces of the benchmark that come with the program.
package traces

import (
	"embed"
	"io/fs"
	"strings"
)

//go:embed *.ini
var files embed.FS

// suffix is the ending of trace files.
const suffix = ".ini"

// Names returns the names of the traces, sorted.
func Names() []string {
	entries, err := fs.ReadDir(files, ".")
	if err != nil {
		return nil // the embedded directory always exists
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), suffix))
	}
	return names
}

// Read returns the file of a trace, and whether there is one of that name.
func Read(name string) ([]byte, bool) {
	data, err := files.ReadFile(name + suffix)
	return data, err == nil
}
