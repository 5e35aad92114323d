#!/usr/bin/env bash
# Runs the tests with the race detector. Tests listed in KNOWN-RED.txt
# ("test: <Name>" lines) are skipped and printed. Cached results are not used: soak,
# e2e and hostile build the daemon themselves, and the test cache does not track its
# sources. The crowds of callers of internal/hostile would disturb the timing of other
# tests, so that package runs last and alone.
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
go=${GO:-go}
alone=$("$go" list ./internal/hostile)
mapfile -t others < <("$go" list ./... | grep -vxF "$alone")
[ "${#others[@]}" -gt 0 ] # a list that failed must not pass for one without packages
status=0
"$go" test -race -count=1 -timeout 9m "${skip[@]}" "$@" "${others[@]}" || status=$?
"$go" test -race -count=1 -timeout 9m -p 1 -parallel 1 "${skip[@]}" "$@" "$alone" || status=$?
exit "$status"
