// Package inifile reads settings files strictly: it reports unknown sections,
// unknown or repeated keys and bad values with their line numbers.
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

// File is one settings file. Its sections collect errors, which Err returns.
type File struct {
	path     string
	sections []*Section
	errs     []error
}

// Section is one section, titled "[kind]" or "[kind name]".
type Section struct {
	Kind string
	Name string

	file   *File
	line   int
	keys   map[string]int // key -> line
	values *ini.Section
	read   map[string]bool
}

// Load reads the file at path.
func Load(path string) (*File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, data)
}

// Parse reads data. Errors name it by path.
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

// scan finds the lines of sections and keys, which the INI library does not tell.
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
				f.errorf(i+1, "section [%s] is repeated", current.title())
			}
			seen[current.title()] = true
		default:
			f.scanKey(current, line, i+1)
		}
	}
}

func (f *File) newSection(line string, number int) *Section {
	title, _, _ := strings.Cut(line[1:], "]")
	kind, name, _ := strings.Cut(strings.TrimSpace(title), " ")
	s := &Section{
		Kind: kind,
		Name: strings.TrimSpace(name),
		file: f,
		line: number,
		keys: map[string]int{},
		read: map[string]bool{},
	}
	f.sections = append(f.sections, s)
	return s
}

func (f *File) scanKey(s *Section, line string, number int) {
	key, _, _ := strings.Cut(line, "=")
	key = strings.TrimSpace(key)
	if s == nil {
		f.errorf(number, "key %q stands outside any section", key)
		return
	}
	if _, ok := s.keys[key]; ok {
		f.errorf(number, "key %q is repeated", key)
	}
	s.keys[key] = number
}

func (f *File) errorf(line int, format string, args ...any) {
	prefix := fmt.Sprintf("%s:%d: ", f.path, line)
	f.errs = append(f.errs, errors.New(prefix+fmt.Sprintf(format, args...)))
}

// Sections returns the sections in the order of the file.
func (f *File) Sections() []*Section { return f.sections }

// Err returns all errors found so far.
func (f *File) Err() error { return errors.Join(f.errs...) }

func (s *Section) title() string {
	if s.Name == "" {
		return s.Kind
	}
	return s.Kind + " " + s.Name
}

// Errorf reports an error at the line of key, or of the section if key is not set.
func (s *Section) Errorf(key, format string, args ...any) {
	line, ok := s.keys[key]
	if !ok {
		line = s.line
	}
	s.file.errorf(line, format, args...)
}

// Has tells whether key is set.
func (s *Section) Has(key string) bool {
	_, ok := s.keys[key]
	return ok
}

// String returns the value of key, or def if it is not set.
func (s *Section) String(key, def string) string {
	s.read[key] = true
	if !s.Has(key) {
		return def
	}
	return s.values.Key(key).String()
}

// Int returns the whole number of key. It must lie between low and math.MaxInt32.
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

// Float returns the number of key. It must lie between low and high.
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

// Millis returns the duration of key, which is given in milliseconds.
func (s *Section) Millis(key string, def time.Duration) time.Duration {
	return time.Duration(s.Int(key, def.Milliseconds(), 0)) * time.Millisecond
}

// Bool returns the truth value of key: true or false.
func (s *Section) Bool(key string, def bool) bool {
	return s.Choice(key, strconv.FormatBool(def), "true", "false") == "true"
}

// Choice returns the value of key, which must be one of options.
func (s *Section) Choice(key, def string, options ...string) string {
	text := s.String(key, def)
	if slices.Contains(options, text) {
		return text
	}
	s.Errorf(key, "%s = %s: want one of %s", key, text, strings.Join(options, ", "))
	return def
}

// Loopback returns the ip:port of key, which must be on the loopback interface.
func (s *Section) Loopback(key string) string {
	text := s.String(key, "")
	if err := CheckLoopback(text); err != nil {
		s.Errorf(key, "%s = %s: %v", key, text, err)
	}
	return text
}

// Done reports the keys that nothing has read.
func (s *Section) Done() {
	for key := range s.keys {
		if !s.read[key] {
			s.Errorf(key, "unknown key %q in section [%s]", key, s.title())
		}
	}
}

// CheckLoopback returns an error unless address is ip:port on the loopback interface.
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
