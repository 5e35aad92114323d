#!/usr/bin/env bash
# Runs all property tests with fresh seeds, and the fuzz tests of the Go tool. The
# argument is the time in seconds for each of them (default 30). The first seed is
# printed, and a failure names its seed.
set -euo pipefail
cd "$(dirname "$0")/.."
export RADISHLOOM_FUZZ_SECONDS=${1:-30}
export RADISHLOOM_FUZZ_SEED=${RADISHLOOM_FUZZ_SEED:-$(($(date +%s) * 1000))}
echo "first seed $RADISHLOOM_FUZZ_SEED, $RADISHLOOM_FUZZ_SECONDS s for each property"
packages=$(grep -rlE --include="*_test.go" "proptest" internal | xargs -n1 dirname | sort -u | sed "s|^|./|")
# shellcheck disable=SC2086 # one argument for each package
"${GO:-go}" test -p 4 -timeout 60m -count 1 -v $packages |
  grep -E '^(---|ok|FAIL|PASS|panic)|seed' || exit 1
# The Go tool runs one fuzz test at a time; a failing input is saved in testdata.
grep -rE --include="*_test.go" "^func Fuzz[A-Za-z]+\(f \*testing\.F\)" internal | while IFS=: read -r file line; do
  name=${line#func }
  "${GO:-go}" test -run '^$' -fuzz "^${name%%(*}\$" -fuzztime "${RADISHLOOM_FUZZ_SECONDS}s" "./$(dirname "$file")" </dev/null
done
