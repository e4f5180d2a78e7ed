package main

import (
	"testing"

	"kitefall/review/script"
)

// TestCase runs the script of case 2.
func TestCase(t *testing.T) { script.Run(t) }
