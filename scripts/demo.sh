#!/usr/bin/env bash
# Demo: three daemons, a stand-in engine and a stand-in service on loopback
# addresses. Exits with 0 only if every response was complete and correct. "make
# demo" builds the binaries first; the only other requirement is curl.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/bin
"${GO:-go}" build -o bin/standin ./internal/standin/cmd/standin

mkdir -p tmp
dir=$(mktemp -d "$PWD/tmp/demo.XXXXXX")
pids=()

cleanup() {
  local status=$?
  for pid in "${pids[@]}"; do
    [ -z "$pid" ] || kill -KILL "$pid" 2>/dev/null || true
    [ -z "$pid" ] || wait "$pid" 2>/dev/null || true
  done
  if [ "$status" -ne 0 ]; then
    echo "demo: FAILED (exit $status); logs are in $dir" >&2
    for log in "$dir"/*.log; do
      echo "== the end of $log" >&2
      tail -n 5 "$log" >&2
    done
  fi
}
trap cleanup EXIT

fail() {
  echo "demo: $*" >&2
  exit 1
}

step() { printf '\n== %s\n' "$*"; }

# start NAME COMMAND... starts a process in the background and sets pid to its id.
start() {
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  pid=$!
  pids+=("$pid")
  echo "$name runs as process $pid"
}

# until_true SECONDS WHAT COMMAND... repeats a command until it succeeds.
until_true() {
  local end=$((SECONDS + $1)) what=$2
  shift 2
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || fail "timed out: $what"
    sleep 0.1
  done
}

get() { curl --silent --show-error --max-time 15 "$@"; }

tool() {
  "$bin/radishloom" --token-file "$dir/operator.token" "${servers[@]}" "$@"
}

ready() { get --fail --output /dev/null "http://127.0.0.1:1808$1/readyz"; }

step "start"
head -c 24 /dev/urandom | base64 >"$dir/operator.token"
cp examples/demo/*.toml "$dir/"
start engine "$bin/standin" engine --listen 127.0.0.1:18481 --model tiny-chat:10240:1 --resident tiny-chat \
  --token-time 5ms --checks-fencing
start service "$bin/standin" service --listen 127.0.0.1:18491
daemon=("")
servers=()
for i in 1 2 3; do
  "$bin/radishloomd" --config "$dir/vm-$i.toml" --check
  start "vm-$i" "$bin/radishloomd" --config "$dir/vm-$i.toml"
  daemon[i]=$pid
  servers+=(--server "http://127.0.0.1:1818$i")
done
until_true 15 "a leader is elected" tool config history

step "configuration and a customer's key"
tool config apply --comment "first configuration of the demo" --wait 10s "$dir/configuration.toml"
tool --output json key create --note "key of the demo" demo >"$dir/key.json"
key=$(sed -n 's/.*"secret": "\(rl_[^"]*\)".*/\1/p' "$dir/key.json")
rm "$dir/key.json"
[ -n "$key" ] || fail "no secret in the answer to key create"
tool key list
for i in 1 2 3; do
  until_true 10 "entry $i is ready" ready "$i"
done
voters() { [ "$(tool vm list | grep -cE ' (leader|voter) ')" -eq 3 ]; }
until_true 15 "all control VMs vote" voters
tool status
tool vm list

json='Content-Type: application/json'
chat='{"model":"tiny-chat","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"What is a radish loom?"}]}'
text() { sed -n 's/.*"content":"\([^"]*\)".*/\1/p' | tr -d '\n'; }
# The engine's own response to the same body, for comparison.
expected=$(get http://127.0.0.1:18481/v1/chat/completions -H "X-Request-Id: direct" -H "$json" -d "$chat" | text)
[ -n "$expected" ] || fail "the engine gave no answer to compare with"

# chat ENTRY sends a streamed request and checks the complete response.
chat() {
  local out
  out=$(get --no-buffer "http://127.0.0.1:1808$1/v1/chat/completions" -H "Authorization: Bearer $key" -H "$json" -d "$chat")
  [ "$(text <<<"$out")" = "$expected" ] || fail "entry $1 gave a wrong answer: $out"
  [ "$(grep -c '"content"' <<<"$out")" -eq 12 ] || fail "entry $1 did not send 12 tokens: $out"
  [ "$(grep -v '^$' <<<"$out" | tail -n 1)" = "data: [DONE]" ] || fail "entry $1 did not end the stream: $out"
}

# confirm ENTRY NUMBER confirms a commission and checks the response.
confirm() {
  local body="{\"commission\":$2,\"amount\":1250}" out sum
  out=$(get --fail "http://127.0.0.1:1808$1/ledger/commissions/$2/confirm" \
    -H "Authorization: Bearer $key" -H "Idempotency-Key: commission-$2" -H "$json" -d "$body")
  sum=$(printf '%s' "$body" | sha256sum | cut -d ' ' -f 1)
  grep -q "\"body_sha256\":\"$sum\"" <<<"$out" || fail "entry $1 gave the answer to another request: $out"
  grep -q '"run":1}' <<<"$out" || fail "commission $2 was run more than once: $out"
  ! grep -qF "$key" <<<"$out" || fail "the service saw the caller's key"
  echo "commission $2 through entry $1: $out"
}

for i in 1 2 3; do
  step "requests through entry $i"
  chat "$i"
  echo "streamed 12 tokens: $expected"
  confirm "$i" "$i"
  confirm "$((i % 3 + 1))" "$i" # repeated request: gets the first response, is not run again
done

step "a refused request (wrong key)"
code=$(get --output "$dir/refused.json" --dump-header - "http://127.0.0.1:18081/v1/chat/completions" \
  -H "Authorization: Bearer ${key}x" -H "$json" -d "$chat" | tr -d '\r' | sed -n 's/^Radishloom-Result: //Ip')
cat "$dir/refused.json"
echo
[ "$code" = 1004 ] || fail "the wrong key got result code '$code' in place of 1004"
"$bin/radishloom" explain "$code"

step "kill the leader with SIGKILL"
leader=$(tool --output json status | sed -n 's/.*"leader_vm": "vm-\([123]\)".*/\1/p' | head -n 1)
[ -n "$leader" ] || fail "no leader in the status"
kill -KILL "${daemon[leader]}"
wait "${daemon[leader]}" 2>/dev/null || true
pids=("${pids[@]/#${daemon[leader]}/}") # cleanup must not signal a process that has exited
echo "vm-$leader (process ${daemon[leader]}) is gone"
left=()
servers=()
for i in 1 2 3; do
  [ "$i" = "$leader" ] || left+=("$i")
  servers+=(--server "http://127.0.0.1:1818$i")
done
for n in 1 2 3 4 5; do
  for i in "${left[@]}"; do
    chat "$i"
  done
done
echo "10 streamed requests through the other entries went on"
tool customer set --wait 0s demo rate_tokens_per_second=30000
for i in "${left[@]}"; do
  confirm "$i" "10$i"
  "$bin/radishloom" --token-file "$dir/operator.token" --server "http://127.0.0.1:1818$i" config get |
    grep 'rate_tokens_per_second = 30000' >/dev/null || fail "vm-$i does not have the change"
done
echo "the change and 2 service requests went on"
tool config history

step "stop"
for i in "${left[@]}"; do
  kill -TERM "${daemon[i]}"
done
for i in "${left[@]}"; do
  wait "${daemon[i]}" || fail "vm-$i ended with exit code $?"
done
kill -TERM "${pids[0]}" "${pids[1]}"
wait "${pids[0]}" "${pids[1]}" 2>/dev/null || true
pids=()
! grep -qF "$key" "$dir"/*.log || fail "the caller's key is in a log"
rm -rf "$dir"
echo "demo: every answer was complete and right ($SECONDS s)"
