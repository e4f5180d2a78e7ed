// Package tomlfile reads operators' files: TOML, with every complaint at its line. A key that the program does not know
// is an error, since a misspelt bound would silently be none.
package tomlfile

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/BurntSushi/toml"
)

// File is a file that was read.
type File struct {
	path  string
	lines map[string]int // by key, with its table, joined as toml.Key does it
	meta  toml.MetaData
}

// Read decodes a file into v. All unknown keys are told of, each with its line.
func Read(path string, v any) (*File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	f := &File{path: path, lines: lines(string(data))}
	if f.meta, err = toml.Decode(string(data), v); err != nil {
		if at := (toml.ParseError{}); errors.As(err, &at) {
			key := ""
			if at.LastKey != "" {
				key = at.LastKey + ": "
			}
			return nil, fmt.Errorf("%s:%d: %s%s", path, at.Position.Line, key, at.Message)
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for _, key := range f.meta.Undecoded() {
		err = errors.Join(err, f.Errorf("there is no such setting", key...))
	}
	return f, err
}

// Has tells whether the file sets a key.
func (f *File) Has(key ...string) bool { return f.meta.IsDefined(key...) }

// Errorf is a complaint about a key, at its line, or at that of the table that it is missing from.
func (f *File) Errorf(what string, key ...string) error {
	for n := len(key); n > 0; n-- {
		if line := f.lines[toml.Key(key[:n]).String()]; line > 0 {
			return fmt.Errorf("%s:%d: %s: %s", f.path, line, toml.Key(key), what)
		}
	}
	return fmt.Errorf("%s: %s: %s", f.path, toml.Key(key), what)
}

// lines finds where each key is set, and each table begins.
func lines(text string) map[string]int {
	found := map[string]int{}
	var table []string
	for n, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			table = words(strings.Trim(strings.TrimLeft(line, "["), " "), ']')
			if name := toml.Key(table).String(); found[name] == 0 {
				found[name] = n + 1
			}
		} else if key := words(line, '='); len(key) > 0 && !strings.HasPrefix(line, "#") {
			name := toml.Key(append(append([]string{}, table...), key...)).String()
			if found[name] == 0 {
				found[name] = n + 1
			}
		}
	}
	return found
}

// words splits a key at its dots, up to the end mark; nil if that does not come.
func words(text string, end byte) (out []string) {
	word, quote := strings.Builder{}, byte(0)
	for i := range len(text) {
		switch c := text[i]; {
		case quote != 0 && c == quote:
			quote = 0
		case quote != 0:
			word.WriteByte(c)
		case c == '"' || c == '\'':
			quote = c
		case c == end:
			return append(out, strings.TrimSpace(word.String()))
		case c == '.':
			out = append(out, strings.TrimSpace(word.String()))
			word.Reset()
		default:
			word.WriteByte(c)
		}
	}
	return nil
}
