package main

import (
	"testing"

	"kitefall/review/script"
)

// TestCase runs the script of case 3.
func TestCase(t *testing.T) { script.Run(t) }
