package balancer

import (
	"testing"
)

func TestNewRejectsInvalidSettings(t *testing.T) {
	if _, err := New(Settings{}, 1); err == nil {
		t.Error("settings without classes: New returned no error")
	}
	s := testSettings()
	s.IdleTTL = -1
	if _, err := New(s, 1); err == nil {
		t.Error("settings with a negative IdleTTL: New returned no error")
	}
	s = testSettings()
	s.Classes[0].Deadline = -1
	if _, err := New(s, 1); err == nil {
		t.Error("settings with a negative class deadline: New returned no error")
	}
}
