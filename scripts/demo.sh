#!/usr/bin/env bash
# Runs a complete system on one machine: 5 hosts in 3 availability zones, 21 backend servers and
# several hundred callers. While traffic runs, one backend server is drained and one host leaves in
# a planned stop (or, with the argument "crash", is killed). Prints a summary and exits with 1 when
# a promise was broken.
set -u
cd "$(dirname "$0")/.." || exit 1
MODE=${1:-planned}
BUILD=${BUILD:-build}
RUN=$(mktemp -d)
DURATION_MS=${DURATION_MS:-30000}
SEED=${SEED:-1}
. scripts/lib.sh
trap 'stop_all; rm -rf "$RUN"' EXIT

echo "== the platform stand-in, 5 hosts, 21 backend servers"
start_platform || exit 1
for i in 0 1 2 3 4; do
    start_host "$i"
done
start_backends mostrador 14 1 8001 192.0.2.10 2001:db8::10 20
start_backends imprenta 4 15 8002 192.0.2.11 2001:db8::11 20
start_backends avisos 3 19 8003 192.0.2.12 2001:db8::12 10
wait_for "5 live hosts" all_live 5 || exit 1

echo "== a configuration from templates"
ctl --wait --reason "demo" apply examples/medidas-alegres/services.toml || exit 1

cat >"$RUN/fabric.toml" <<EOF
listen = "127.0.0.1:6400"
reports = "127.0.0.1:6401"
platform = "$PLATFORM"
caller_addresses = ["203.0.113.1", "2001:db8:ffff::1"]
duration_ms = $DURATION_MS
seed = $SEED
callers = [
  { kind = "lookup", service = "mostrador", address = ["192.0.2.10"], port = 8001, count = 80, answer_bytes = 2000, think_ms = 400 },
  { kind = "lookup", service = "mostrador", address = ["2001:db8::10"], port = 8001, count = 80, answer_bytes = 2000, think_ms = 400 },
  { kind = "terminal", service = "mostrador", address = ["192.0.2.10"], port = 8001, count = 60, answer_bytes = 500, think_ms = 700 },
  { kind = "terminal", service = "mostrador", address = ["2001:db8::10"], port = 8001, count = 60, answer_bytes = 500, think_ms = 700 },
  { kind = "download", service = "imprenta", address = ["192.0.2.11"], port = 8002, count = 20, answer_bytes = 1500000, think_ms = 500 },
  { kind = "download", service = "imprenta", address = ["2001:db8::11"], port = 8002, count = 20, answer_bytes = 1500000, think_ms = 500 },
  { kind = "datagram", service = "avisos", address = ["192.0.2.12"], port = 8003, count = 20, answer_bytes = 200, think_ms = 300 },
  { kind = "datagram", service = "avisos", address = ["2001:db8::12"], port = 8003, count = 20, answer_bytes = 200, think_ms = 300 },
]
EOF
echo "== 360 callers for $((DURATION_MS / 1000)) s, seed $SEED"
"$BUILD/standin_fabric" --settings "$RUN/fabric.toml" >"$RUN/summary" 2>&1 &
FABRIC=$!
PIDS+=("$FABRIC")

sleep "$((DURATION_MS / 3000))"
VICTIM=${VICTIM:-quito-b-1}
if [ "$MODE" = crash ]; then
    echo "== host $VICTIM is killed"
    kill -KILL "${PID_OF[$VICTIM]}"
else
    echo "== host $VICTIM is stopped by plan"
    kill -TERM "${PID_OF[$VICTIM]}"
fi
sleep 4
echo "== backend server mostrador-3 is drained"
awk '{print} /^name = "mostrador-3"$/ {print "state = \"draining\""}' \
    examples/medidas-alegres/services.toml >"$RUN/drained.toml"
ctl --reason "demo drain" apply "$RUN/drained.toml" || exit 1

wait "$FABRIC"
RESULT=$?
echo "== summary"
cat "$RUN/summary"
# In a planned stop the host exits only when every flow record has two owners again.
for _ in $(seq 300); do
    kill -0 "${PID_OF[$VICTIM]}" 2>/dev/null || break
    sleep 0.1
done
if [ "$MODE" != crash ] && kill -0 "${PID_OF[$VICTIM]}" 2>/dev/null; then
    echo "the planned stop of $VICTIM is not finished"
    RESULT=1
fi
if [ -n "${KEEP_LOGS:-}" ]; then
    mkdir -p "$KEEP_LOGS"
    cp "$RUN"/*.log "$KEEP_LOGS"
fi
exit "$RESULT"
