package balancer

import (
	"testing"
)

func TestNewRejectsInvalidSettings(t *testing.T) {
	if _, err := New(Settings{}, 1); err == nil {
		t.Error("no classes: no error")
	}
	s := testSettings()
	s.IdleTTL = -1
	if _, err := New(s, 1); err == nil {
		t.Error("negative time: no error")
	}
	s = testSettings()
	s.Classes[0].Deadline = -1
	if _, err := New(s, 1); err == nil {
		t.Error("negative deadline: no error")
	}
}
