#!/usr/bin/env bash
# Runs the Go benchmarks and writes their output to bin/bench.txt. Then measures
# the decisions under load and faults (bin/bench-decisions.md), one
# entry on one core (bin/bench-cost.md) and the control role with real daemons
# (bin/bench-control.md). docs/measurements.md and docs/CAPACITY.md are based on
# these files.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
# e2e has no benchmarks and would build the daemon needlessly.
packages=$("${GO:-go}" list ./internal/... | grep -v /e2e)
# shellcheck disable=SC2086 # one argument for each package
"${GO:-go}" test -run '^$' -bench . -benchmem -benchtime "${BENCHTIME:-200ms}" -timeout 30m $packages |
  grep -E '^(Benchmark|pkg:|cpu:|ok)' | tee bin/bench.txt
"${GO:-go}" run ./internal/bench/cmd/bench --parallel 4 --baselines | tee bin/bench-decisions.md
"${GO:-go}" build -o bin/bench ./internal/bench/cmd/bench
bin/bench --cost | tee bin/bench-cost.md
"${GO:-go}" build -o bin/controlbench ./internal/controlbench
bin/controlbench --daemon bin/radishloomd | tee bin/bench-control.md
