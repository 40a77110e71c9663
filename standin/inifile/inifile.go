// Package inifile parses settings files in INI format strictly. It reports
// duplicate sections, unknown or duplicate keys and invalid values with their line
// numbers. Callers reject the kinds of sections that they don't know.
package inifile

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// File is a parsed settings file. Errors that its sections find are collected in
// the file; Err returns them.
type File struct {
	path     string
	sections []*Section
	errs     []error
}

// Section is a section with the header "[kind]" or "[kind name]".
type Section struct {
	Kind string
	Name string

	file     *File
	line     int
	keyLines map[string]int // line number by key
	values   *ini.Section
	readKeys map[string]bool
}

// Load reads and parses the file at path.
func Load(path string) (*File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, data)
}

// Parse parses data. Error messages refer to it as path.
func Parse(path string, data []byte) (*File, error) {
	opts := ini.LoadOptions{
		KeyValueDelimiters:       "=",
		ChildSectionDelimiter:    "\x00",
		SpaceBeforeInlineComment: true,
		IgnoreContinuation:       true,
	}
	parsed, err := ini.LoadSources(opts, data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	f := &File{path: path}
	f.scan(data)
	for _, s := range f.sections {
		s.values = parsed.Section(s.title())
	}
	return f, f.Err()
}

// scan records the line numbers of sections and keys, which the INI library does
// not report.
func (f *File) scan(data []byte) {
	seen := map[string]bool{}
	var current *Section
	for i, raw := range bytes.Split(data, []byte("\n")) {
		line := strings.TrimSpace(string(raw))
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			current = f.newSection(line, i+1)
			if seen[current.title()] {
				f.errorf(i+1, "duplicate section [%s]", current.title())
			}
			seen[current.title()] = true
		default:
			f.scanKey(current, line, i+1)
		}
	}
}

func (f *File) newSection(line string, lineNumber int) *Section {
	title, _, _ := strings.Cut(line[1:], "]")
	kind, name, _ := strings.Cut(strings.TrimSpace(title), " ")
	s := &Section{
		Kind:     kind,
		Name:     strings.TrimSpace(name),
		file:     f,
		line:     lineNumber,
		keyLines: map[string]int{},
		readKeys: map[string]bool{},
	}
	f.sections = append(f.sections, s)
	return s
}

func (f *File) scanKey(s *Section, line string, lineNumber int) {
	key, _, _ := strings.Cut(line, "=")
	key = strings.TrimSpace(key)
	if s == nil {
		f.errorf(lineNumber, "key %q is not in a section", key)
		return
	}
	if _, ok := s.keyLines[key]; ok {
		f.errorf(lineNumber, "duplicate key %q", key)
	}
	s.keyLines[key] = lineNumber
}

func (f *File) errorf(line int, format string, args ...any) {
	prefix := fmt.Sprintf("%s:%d: ", f.path, line)
	f.errs = append(f.errs, errors.New(prefix+fmt.Sprintf(format, args...)))
}

// Sections returns the sections in the order of the file.
func (f *File) Sections() []*Section { return f.sections }

// Err returns the errors found so far, joined, or nil.
func (f *File) Err() error { return errors.Join(f.errs...) }

func (s *Section) title() string {
	if s.Name == "" {
		return s.Kind
	}
	return s.Kind + " " + s.Name
}

// Errorf records an error at the line of key, or at the line of the section
// header if key is not set.
func (s *Section) Errorf(key, format string, args ...any) {
	line, ok := s.keyLines[key]
	if !ok {
		line = s.line
	}
	s.file.errorf(line, format, args...)
}

// Has reports whether key is set.
func (s *Section) Has(key string) bool {
	_, ok := s.keyLines[key]
	return ok
}

// String returns the value of key, or def if it is not set.
func (s *Section) String(key, def string) string {
	s.readKeys[key] = true
	if !s.Has(key) {
		return def
	}
	return s.values.Key(key).String()
}

// Int returns the value of key as an integer, or def if it is not set. It must be
// between low and math.MaxInt32.
func (s *Section) Int(key string, def, low int64) int64 {
	text := s.String(key, "")
	if text == "" {
		return def
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < low || n > math.MaxInt32 {
		s.Errorf(key, "%s = %s: want a whole number between %d and %d", key, text, low, math.MaxInt32)
		return def
	}
	return n
}

// Float returns the value of key as a floating-point number, or def if it is not
// set. It must be between low and high.
func (s *Section) Float(key string, def, low, high float64) float64 {
	text := s.String(key, "")
	if text == "" {
		return def
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || !(n >= low && n <= high) {
		s.Errorf(key, "%s = %s: want a number between %g and %g", key, text, low, high)
		return def
	}
	return n
}

// Millis returns the value of key, an integer number of milliseconds, as a
// duration, or def if it is not set.
func (s *Section) Millis(key string, def time.Duration) time.Duration {
	return time.Duration(s.Int(key, def.Milliseconds(), 0)) * time.Millisecond
}

// Bool returns the value of key, which must be true or false, or def if it is not
// set.
func (s *Section) Bool(key string, def bool) bool {
	return s.Choice(key, strconv.FormatBool(def), "true", "false") == "true"
}

// Choice returns the value of key, which must be one of options, or def if it is
// not set.
func (s *Section) Choice(key, def string, options ...string) string {
	text := s.String(key, def)
	if slices.Contains(options, text) {
		return text
	}
	s.Errorf(key, "%s = %s: want one of %s", key, text, strings.Join(options, ", "))
	return def
}

// Loopback returns the value of key, which must be set and be ip:port with a
// loopback IP address.
func (s *Section) Loopback(key string) string {
	text := s.String(key, "")
	if err := CheckLoopback(text); err != nil {
		s.Errorf(key, "%s = %s: %v", key, text, err)
	}
	return text
}

// CheckUnknownKeys records an error for each key that no method has read. Call it after
// all known keys were read.
func (s *Section) CheckUnknownKeys() {
	for key := range s.keyLines {
		if !s.readKeys[key] {
			s.Errorf(key, "unknown key %q in section [%s]", key, s.title())
		}
	}
}

// CheckLoopback returns an error unless address is ip:port with a loopback IP
// address.
func CheckLoopback(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return errors.New("want ip:port")
	}
	ip := net.ParseIP(host)
	if ip == nil || !ip.IsLoopback() {
		return errors.New("want a loopback address")
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return errors.New("want a port number")
	}
	return nil
}
