#!/usr/bin/env bash
# Runs the build of another commit beside this one on loopback:
#
#   deploy/mixed/run.sh COMMIT [SEEDS]
#
# 1. A team installation of two VMs, one of each build, then with the builds
#    exchanged on the settings, claims and uploads that the first half wrote.
# 2. A site of four VMs, two of each build, under the faults of figfront-soak.
#
# Exit status: 0 when everything held, 1 otherwise.
set -euo pipefail
commit=$1
seeds=${2:-4}
here=$(cd "$(dirname "$0")" && pwd)
top=$(cd "$here/../.." && pwd)
demo=$top/deploy/demo
work=$(mktemp -d)
pids=()
failures=0

finish() {
  trap - EXIT INT TERM
  [ "${#pids[@]}" = 0 ] || kill "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap finish EXIT
trap 'exit 1' INT TERM

mkdir -p "$work/old/src" "$work/new" "$work/logs"
git -C "$top" archive "$commit" | tar -x -C "$work/old/src"
(cd "$work/old/src" && go build -o "$work/old/" ./cmd/...)
(cd "$top" && go build -o "$work/new/" ./cmd/...)

start() {
  local name=$1
  shift
  "$@" >>"$work/logs/$name.log" 2>&1 &
  pids+=($!)
  started=$!
}

check() {
  local name=$1 want=$2 got=$3
  if [[ $got == *"$want"* ]]; then
    echo "ok      $name"
    return
  fi
  echo "FAILED  $name: want $want, got $got"
  failures=$((failures + 1))
}

wait_for() {
  for _ in $(seq 300); do
    if curl -fsS -o /dev/null "$1" 2>/dev/null; then return 0; fi
    sleep 0.05
  done
  check "answer from $1" yes no
}

# start_vm starts the three processes of VM $1 with build $2.
start_vm() {
  local n=$1 build=$2 role
  for role in agent gateway admin; do
    start "vm$n-$role" "$work/$build/figfront-$role" run --settings "$demo/vm$n-$role.ini"
    vm_pids[$n]="${vm_pids[$n]:-} $started"
  done
}

# stop_vm stops the processes of VM $1 in a planned way.
stop_vm() {
  # shellcheck disable=SC2086
  kill ${vm_pids[$1]}
  # shellcheck disable=SC2086
  wait ${vm_pids[$1]} 2>/dev/null || true
  vm_pids[$1]=
}

wait_for_vms() {
  for port in 17103 17203 17105 17205 17101 17201; do
    wait_for "http://127.0.0.1:$port/readyz"
  done
}

# ctl runs build $1's figfrontctl against the administration API of VM $2.
ctl() {
  local build=$1 n=$2
  shift 2
  "$work/$build/figfrontctl" --admin "http://127.0.0.1:17${n}04" --team split --token demo-split --author mixed "$@" 2>&1
}

# outcome prints the status and the outcome of a call.
outcome() {
  curl -sS --max-time 10 -o "$work/body" -D "$work/header" "$@"
  tr -d '\r' <"$work/header" | awk '$1 ~ /^HTTP/ { status = $2 } tolower($1) ~ /^figfront-(outcome|reason):/ { sub(/^[^ ]* /, ""); told = told " " $0 }
    END { print status told }'
}

# book sends the booking with key $2 through VM $1 and prints its answer.
book() {
  outcome -X POST -H "Idempotency-Key: $2" -d from=home "http://127.0.0.1:17${1}00/split/reservations/bookings"
  cat "$work/body"
}

# switch_upstreams sets the faults of all upstreams.
switch_upstreams() {
  for n in 1 2 3; do
    curl -fsS -o /dev/null -X PUT -d "$1" "http://127.0.0.1:1790$n/standin/switches"
  done
}

# calls_run prints the number of calls that all upstreams have run.
calls_run() {
  for n in 1 2 3; do curl -fsS "http://127.0.0.1:1790$n/standin/counts"; done |
    grep -oE '"ran":[0-9]+' | awk -F: '{ n += $2 } END { print n }'
}

# exchange_calls has each VM serve calls and repeat the bookings of the other.
exchange_calls() {
  local label=$1 a b before
  for n in 1 2; do
    check "$label: lookup through VM $n" "200 ran" "$(outcome "http://127.0.0.1:17${n}00/split/ride-info/rides/42")"
    check "$label: upload through VM $n" "200 ran" "$(head -c 300000 /dev/zero | outcome -T - "http://127.0.0.1:17${n}00/split/doc-intake/forms/9")"
  done
  a=$(book 1 "$label-1")
  b=$(book 2 "$label-2")
  check "$label: booking through VM 1" "200 ran" "$a"
  check "$label: booking through VM 2" "200 ran" "$b"
  before=$(calls_run)
  check "$label: VM 2 returns the answer that VM 1 kept" "${a#* ran}" "$(book 2 "$label-1")"
  check "$label: VM 1 returns the answer that VM 2 kept" "${b#* ran}" "$(book 1 "$label-2")"
  check "$label: neither ran again" "$before" "$(calls_run)"
}

# store_upload stores an upload through VM $1 while no upstream takes it and sets
# location to the path of its status.
store_upload() {
  check "VM $1 stores an upload" "202 accepted" \
    "$(head -c 300000 /dev/zero | outcome -T - "http://127.0.0.1:17${1}00/split/doc-intake/forms/9")"
  location=$(tr -d '\r' <"$work/header" | awk 'tolower($1) == "location:" { print $2 }')
}

# wait_delivered waits until VM $1 reports the upload of the path as delivered.
wait_delivered() {
  local n=$1 path=$2 state=
  for _ in $(seq 300); do
    state=$(curl -sS "http://127.0.0.1:17${n}00$path")
    [[ $state == *'"state":"delivered"'* ]] && break
    sleep 0.2
  done
  check "VM $n reports $path" '"state":"delivered"' "$state"
}

team_installation() {
  start platform "$work/new/figfront-standin" platform --listen 127.0.0.1:17000 \
    --vm entry-1/fukuoka/127.0.0.1:17102 --vm entry-2/kumamoto/127.0.0.1:17202
  for n in 1 2 3; do
    start "upstream-$n" "$work/new/figfront-standin" upstream --listen "127.0.0.1:1790$n" --name "upstream-$n"
  done
  wait_for http://127.0.0.1:17000/healthz
  start_vm 1 old
  start_vm 2 new
  for port in 17103 17203 17105 17205; do wait_for "http://127.0.0.1:$port/readyz"; done
  "$work/old/figfrontctl" --admin http://127.0.0.1:17104 --team asocrank --token demo-asocrank apply "$demo/asocrank.ini" >/dev/null
  check "settings by the old build" "in force on 2 VMs" "$(ctl old 1 apply "$demo/split.ini")"
  wait_for_vms
  sed 's/concurrency = 64/concurrency = 60/' "$demo/split.ini" >"$work/split.ini"
  check "settings by the new build" "in force on 2 VMs" "$(ctl new 2 apply "$work/split.ini")"
  check "new command, old API" "concurrency = 60" "$(ctl new 1 get)"
  check "old command, new API" "concurrency = 60" "$(ctl old 2 get)"
  exchange_calls first
  switch_upstreams '{"fail_fast":true}'
  store_upload 1
  old_upload=$location
  store_upload 2
  new_upload=$location
  echo "--- the builds change places, on what was written"
  stop_vm 1
  stop_vm 2
  start_vm 1 new
  start_vm 2 old
  wait_for_vms
  check "settings after the exchange" "concurrency = 60" "$(ctl old 1 get)"
  check "history after the exchange" "mixed" "$(ctl new 2 history)"
  check "roll back through the new build" "in force on 2 VMs" "$(ctl old 1 rollback 1)"
  check "status of both VMs" "entry-2" "$(ctl new 2 status)"
  switch_upstreams '{}'
  check "new build returns the answer that the old one kept" "200 ran" "$(book 1 first-1)"
  check "old build returns the answer that the new one kept" "200 ran" "$(book 2 first-2)"
  for n in 1 2; do
    wait_delivered "$n" "$old_upload"
    wait_delivered "$n" "$new_upload"
  done
  exchange_calls second
}

# site runs the soak on four VMs: the first and the last of the old build.
site() {
  cat >"$work/figfront-entry" <<'EOF'
#!/usr/bin/env bash
work=$(cd "$(dirname "$0")" && pwd)
name=$(basename "$FIGFRONT_CONFIG" .ini)
case $name in vm-0 | vm-3) build=old ;; *) build=new ;; esac
exec "$work/$build/figfront-entry" "$@" >>"$work/logs/$build-$name.$(basename "$(dirname "$FIGFRONT_CONFIG")").log" 2>&1
EOF
  chmod +x "$work/figfront-entry"
  if "$work/new/figfront-soak" --binary "$work/figfront-entry" --seed 1 --seeds "$seeds"; then
    check "soak, $seeds seeds" yes yes
  else
    check "soak, $seeds seeds" yes no
  fi
  local build
  for build in old new; do
    check "VMs of the $build build have calls placed by the other build" yes "$(placed_by_other "$build")"
  done
}

# placed_by_other prints yes and a count when VMs of build $1 sent calls that VMs of
# the other build had placed.
placed_by_other() {
  local other='vm-[12]' count
  [ "$1" = old ] || other='vm-[03]'
  count=$(cat "$work/logs/$1"-vm-*.log | grep -cE "\"placed_by\":\"$other\"" || true)
  [ "$count" -gt 0 ] && echo "yes, $count" || echo no
}

declare -a vm_pids
team_installation
kill "${pids[@]}" 2>/dev/null || true
wait 2>/dev/null || true
pids=()
site
echo "$failures failed"
[ "$failures" = 0 ]
