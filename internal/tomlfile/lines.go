package tomlfile

import (
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
)

// findKeyLines returns the line at which each key is set first and each table begins first. The TOML package does not tell
// these. It is enough to understand the usual forms: what is missed only leaves an error without its line.
func findKeyLines(text string) map[string]int {
	found := map[string]int{}
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
		if joined := toml.Key(name).String(); found[joined] == 0 {
			found[joined] = i + 1
		}
	}
	return found
}

// parseTableHeader parses the name in a table's header, or in the header of an array's element, after its first bracket.
func parseTableHeader(header string) []string {
	return parseKey(strings.Trim(strings.TrimLeft(header, "["), " "), ']')
}

// parseKey splits a key at the dots outside of quotes. The key ends before the first mark outside of quotes; without a
// mark the result is nil.
func parseKey(text string, mark byte) []string {
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
		case c == mark:
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
