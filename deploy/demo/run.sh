#!/usr/bin/env bash
# Runs the demonstration: a stand-in for the platform, three upstreams and the
# processes of two VMs on loopback. It applies the sample settings, sends a few
# calls of each kind of traffic, prints the counters and then runs until it is
# interrupted. With DEMO_ONCE=1 it exits after the calls.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
bin=$here/../../bin
logs=$(mktemp -d)
pids=()

start() {
  local name=$1
  shift
  "$@" >"$logs/$name.log" 2>&1 &
  pids+=($!)
}

stop_all() {
  trap - EXIT INT TERM
  kill "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  rm -rf "$logs"
}
trap stop_all EXIT
trap 'exit 0' INT TERM

wait_for() {
  local url=$1
  for _ in $(seq 200); do
    if curl -fsS -o /dev/null "$url" 2>/dev/null; then
      return 0
    fi
    sleep 0.05
  done
  echo "no answer from $url" >&2
  tail -n 5 "$logs"/*.log >&2
  return 1
}

call() {
  echo "--- $*"
  curl -sS --max-time 10 -D - "$@" | grep -Ev '^(Date|Content-Type|Content-Length|X-Content)' || true
}

start platform "$bin/figfront-standin" platform --listen 127.0.0.1:17000 \
  --vm entry-1/fukuoka/127.0.0.1:17102 --vm entry-2/kumamoto/127.0.0.1:17202
for n in 1 2 3; do
  start "upstream-$n" "$bin/figfront-standin" upstream --listen "127.0.0.1:1790$n" --name "upstream-$n"
done
wait_for http://127.0.0.1:17000/healthz
for n in 1 2; do
  start "agent-$n" "$bin/figfront-agent" run --settings "$here/vm$n-agent.ini"
  start "gateway-$n" "$bin/figfront-gateway" run --settings "$here/vm$n-gateway.ini"
  start "admin-$n" "$bin/figfront-admin" run --settings "$here/vm$n-admin.ini"
done
for port in 17103 17203 17105 17205; do
  wait_for "http://127.0.0.1:$port/readyz"
done

ctl() {
  local team=$1
  shift
  "$bin/figfrontctl" --admin http://127.0.0.1:17104 --team "$team" --token "demo-$team" --author demo "$@"
}
ctl asocrank apply "$here/asocrank.ini"
ctl split apply "$here/split.ini"
for port in 17101 17201; do
  wait_for "http://127.0.0.1:$port/readyz"
done

call http://127.0.0.1:17100/asocrank/start-board/waves/3
call http://127.0.0.1:17200/split/ride-info/rides/42
call -X POST -H 'Idempotency-Key: fee-0001' -d 'rider=7&fee=3500' http://127.0.0.1:17100/asocrank/pay-desk/payments
call -X POST -H 'Idempotency-Key: ride-0001' -d 'from=home&to=clinic' http://127.0.0.1:17200/split/reservations/bookings
head -c 300000 /dev/zero | call -T - http://127.0.0.1:17100/asocrank/waiver-vault/waivers/7
head -c 300000 /dev/zero | call -T - http://127.0.0.1:17200/split/doc-intake/forms/9
call http://127.0.0.1:17100/asocrank/no-such-service/
for team in asocrank split; do
  ctl "$team" status
done

echo "--- 300 lookups and 100 bookings through each VM, then the counters"
for port in 17100 17200; do
  curl -sS -o /dev/null "http://127.0.0.1:$port/asocrank/start-board/waves/[1-300]" &
  curls=$!
  for n in $(seq 100); do
    printf 'next\nurl = http://127.0.0.1:%s/split/reservations/bookings\ndata = "ride=%s"\nheader = "Idempotency-Key: demo-%s-%s"\noutput = /dev/null\nsilent\n' \
      "$port" "$n" "$port" "$n"
  done | sed 1d | curl -sS -K -
  wait "$curls"
done
for port in 17101 17201 17103; do
  echo "counters at $port:"
  curl -sS "http://127.0.0.1:$port/debug/vars" | grep '^"figfront"'
done
curl -sS http://127.0.0.1:17000/control/load

if [ "${DEMO_ONCE:-0}" = 1 ]; then
  exit 0
fi
echo "running; logs are in $logs; interrupt to stop"
wait
