#!/usr/bin/env bash
# Runs the Go benchmarks and writes their output to bin/bench.txt, then measures
# the decisions under load and faults and writes bin/bench-decisions.md. The
# tables of docs/measurements.md are made from both.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
"${GO:-go}" test -run '^$' -bench . -benchmem -benchtime "${BENCHTIME:-200ms}" -timeout 30m ./internal/... |
  grep -E '^(Benchmark|pkg:|cpu:|ok)' | tee bin/bench.txt
"${GO:-go}" run ./internal/bench/cmd/bench --baselines | tee bin/bench-decisions.md
