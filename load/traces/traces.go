// Package traces embeds the traces of the benchmark in the program.
package traces

import (
	"embed"
	"io/fs"
	"strings"
)

//go:embed *.ini
var files embed.FS

// traceSuffix is the file name extension of traces.
const traceSuffix = ".ini"

// Names returns the names of the embedded traces without extension, sorted.
func Names() []string {
	entries, err := fs.ReadDir(files, ".")
	if err != nil {
		return nil // cannot happen: the embedded directory always exists
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), traceSuffix))
	}
	return names
}

// Read returns the content of the embedded trace with that name, and whether it
// exists.
func Read(name string) ([]byte, bool) {
	data, err := files.ReadFile(name + traceSuffix)
	return data, err == nil
}
