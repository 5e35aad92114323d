package main

import (
	"os"
	"testing"
)

// Guards against a page that differs from the codes that the daemon sends.
func TestPageIsUpToDate(t *testing.T) {
	data, err := os.ReadFile("../../../" + page)
	if err != nil {
		t.Fatal(err)
	}
	if string(data) != render() {
		t.Errorf("%s is not up to date; run go run ./internal/resultcode/gen", page)
	}
}
