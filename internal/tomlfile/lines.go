package tomlfile

import (
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
)

// findKeyLines returns the number of the first line that sets each key or begins each table, by full name. The TOML package does
// not report these lines. Only the usual forms are recognized; an error about a key in any other form does not name its line.
func findKeyLines(text string) map[string]int {
	lines := map[string]int{}
	var table []string
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		var name []string
		if header, isTable := strings.CutPrefix(line, "["); isTable {
			table = parseTableHeader(header)
			name = table
		} else {
			key := parseKey(line, '=')
			if len(key) == 0 || strings.HasPrefix(line, "#") {
				continue
			}
			name = slices.Concat(table, key)
		}
		if fullName := toml.Key(name).String(); lines[fullName] == 0 {
			lines[fullName] = i + 1
		}
	}
	return lines
}

// parseTableHeader parses the name in the header of a table or of an element of an array of tables. header begins after the first
// bracket.
func parseTableHeader(header string) []string {
	return parseKey(strings.Trim(strings.TrimLeft(header, "["), " "), ']')
}

// parseKey splits a key at the dots outside of quotes. The key ends before the first terminator outside of quotes; without a
// terminator the result is nil.
func parseKey(text string, terminator byte) []string {
	var parts []string
	var part strings.Builder
	var quote byte // 0 outside of quotes
	for i := range len(text) {
		switch c := text[i]; {
		case quote != 0 && c == quote:
			quote = 0
		case quote != 0:
			part.WriteByte(c)
		case c == '"' || c == '\'':
			quote = c
		case c == terminator:
			return append(parts, strings.TrimSpace(part.String()))
		case c == '.':
			parts = append(parts, strings.TrimSpace(part.String()))
			part.Reset()
		default:
			part.WriteByte(c)
		}
	}
	return nil
}
