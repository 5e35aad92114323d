#!/usr/bin/env bash
# Runs the tests with the race detector. Tests listed in KNOWN-RED.txt
# ("test: <Name>" lines) are skipped and printed. Cached results are not used: soak
# and e2e build the daemon themselves, and the test cache does not track its
# sources.
set -euo pipefail
cd "$(dirname "$0")/.."
skip=()
if [ -s KNOWN-RED.txt ]; then
  names=$(sed -n 's/^test: *\([A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt | paste -sd'|' -)
  if [ -n "$names" ]; then
    echo "known red, passed over: $names"
    skip=(-skip "^($names)\$")
  fi
fi
exec "${GO:-go}" test -race -count=1 -timeout 9m "${skip[@]}" "$@" ./...
