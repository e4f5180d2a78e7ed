package soak

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// encodeWords encodes the arguments as a RESP array of bulk strings, the form of a request in the client protocol.
func encodeWords(arguments ...string) string {
	encoded := fmt.Sprintf("*%d\r\n", len(arguments))
	for _, argument := range arguments {
		encoded += fmt.Sprintf("$%d\r\n%s\r\n", len(argument), argument)
	}
	return encoded
}

// readAnswer reads a RESP array of bulk strings.
func readAnswer(reader *bufio.Reader) ([]string, error) {
	count, err := readNumber(reader, '*')
	if err != nil {
		return nil, err
	}
	var parts []string
	for range count {
		length, err := readNumber(reader, '$')
		if err != nil {
			return nil, err
		}
		data := make([]byte, length+len("\r\n"))
		if _, err := io.ReadFull(reader, data); err != nil {
			return nil, err
		}
		parts = append(parts, strings.TrimSuffix(string(data), "\r\n"))
	}
	return parts, nil
}

// readNumber reads a line that begins with marker and returns the number after it.
func readNumber(reader *bufio.Reader, marker byte) (int, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != marker {
		return 0, fmt.Errorf("soak: RESP line %q in an answer does not begin with %q", line, marker)
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}
