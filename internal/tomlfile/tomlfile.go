// Package tomlfile reads operators' files in TOML. Errors name the line in the file, where it is known. An unknown key is an
// error, because a misspelled limit would otherwise silently have no effect.
package tomlfile

import (
	"errors"
	"fmt"
	"os"

	"github.com/BurntSushi/toml"
)

// File is a decoded file, with the line of each of its keys.
type File struct {
	path     string
	keyLines map[string]int // line of each key and table, by its full name as toml.Key writes it
	meta     toml.MetaData
}

// Read decodes the file at path into v, which must be a pointer. Unknown keys do not stop the decoding: Read then returns the
// File and an error that joins one error for each unknown key, with its line. After any other error the File is nil.
func Read(path string, v any) (*File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	text := string(data)
	f := &File{path: path, keyLines: findKeyLines(text)}
	if f.meta, err = toml.Decode(text, v); err != nil {
		return nil, decodeError(path, err)
	}
	for _, key := range f.meta.Undecoded() {
		err = errors.Join(err, f.KeyError("there is no such setting", key...))
	}
	return f, err
}

// decodeError adds the path to an error of the decoder, and the line and the key if they are known.
func decodeError(path string, err error) error {
	var parseError toml.ParseError
	if !errors.As(err, &parseError) {
		return fmt.Errorf("%s: %w", path, err)
	}
	key := ""
	if parseError.LastKey != "" {
		key = parseError.LastKey + ": "
	}
	return fmt.Errorf("%s:%d: %s%s", path, parseError.Position.Line, key, parseError.Message)
}

// Has reports whether the file sets a key.
func (f *File) Has(key ...string) bool { return f.meta.IsDefined(key...) }

// KeyError returns an error about a key. It names the line that sets the key, or, if the key is missing, the line of the
// innermost enclosing table that the file has.
func (f *File) KeyError(message string, key ...string) error {
	for length := len(key); length > 0; length-- {
		if line := f.keyLines[toml.Key(key[:length]).String()]; line > 0 {
			return fmt.Errorf("%s:%d: %s: %s", f.path, line, toml.Key(key), message)
		}
	}
	return fmt.Errorf("%s: %s: %s", f.path, toml.Key(key), message)
}
