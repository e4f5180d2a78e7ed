package soak

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// encodeWords returns words as the client protocol writes them.
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

func readNumber(reader *bufio.Reader, marker byte) (int, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != marker {
		return 0, fmt.Errorf("soak: answer begins with %q, want %q", line, marker)
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}
