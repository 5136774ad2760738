#!/usr/bin/env bash
# End-to-end test of an operator's session with briarbarrowctl: three hosts, and the platform
# stand-in with injected faults. The output, with ids, times and counts normalized, must equal the
# golden file. Each wait ends when its condition holds, not after a fixed time. WRITE_GOLDEN=1
# rewrites the golden file.
set -u
cd "$(dirname "$0")/.." || exit 1
BUILD=${BUILD:-build}
RUN=$(mktemp -d)
GOLDEN=src/testing/golden/operator-session.txt
PLATFORM=127.0.0.1:12390
. scripts/lib.sh
PLATFORM=127.0.0.1:12390
trap 'stop_all; rm -rf "$RUN"' EXIT

# Replaces what differs between runs: change ids, times, counts and the folder of the run.
alike()
{
    sed -E -e 's/[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}/CHANGE-ID/g' \
        -e 's/[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9:.]+Z/TIME/g' \
        -e 's/entries [0-9]+/entries N/; s/from fabric [0-9]+/from fabric N/' \
        -e "s|$RUN|RUN|g"
}

# say COMMAND...: runs an operator's command and prints it with its output and exit status.
say()
{
    echo "\$ briarbarrowctl $*"
    ctl --who maria "$@" 2>&1
    echo "exit status $?"
    echo
}

# switch JSON: sets faults of the platform stand-in.
switch()
{
    echo "# the platform: $1"
    curl -sf -o "$RUN/switched" -d "$1" "http://$PLATFORM/standin/switch"
}

# metric HOST-NUMBER NAME: prints one value from a host's metrics page.
metric()
{
    curl -sf "http://127.0.1.$1:6083/metrics" | awk -v name="briarbarrow_$2" '$1 == name {print $2}'
}

# metric_is HOST-NUMBER NAME VALUE: succeeds when the metric has this value.
metric_is()
{
    [ "$(metric "$1" "$2")" = "$3" ]
}

# A client that is no member connects to the peer port: it must be refused without receiving data.
stranger_calls()
{
    echo "# a stranger opens a peer link"
    (exec 3<>"/dev/tcp/127.0.1.1/6082" && cat <&3) >"$RUN/stranger" 2>&1
    wait_for "the refusal" metric_is 1 peer_links_refused_total 1
    echo "refused: $(metric 1 peer_links_refused_total), bytes it was told: $(wc -c <"$RUN/stranger")"
    echo
}

# SIGHUP applies the settings that may change at run time and refuses a change of others.
settings_change()
{
    local host=${HOST_NAMES[0]}
    echo "# SIGHUP with another stop timeout, then with another zone"
    sed -i 's/timeout_ms = 40000/timeout_ms = 30000/' "$RUN/$host.toml"
    kill -HUP "${PID_OF[$host]}"
    wait_for "the new settings" grep -q 'settings were read again' "$RUN/$host.log"
    sed -i 's/zone = "quito-a"/zone = "quito-z"/' "$RUN/$host.toml"
    kill -HUP "${PID_OF[$host]}"
    wait_for "the refusal" grep -q 'the settings in force stay' "$RUN/$host.log"
    grep -o 'event="settings were read again"\|event="only fabric[^"]*"' "$RUN/$host.log"
    echo
}

# A host that starts while the platform is down receives the configuration from its peers.
restart_without_platform()
{
    local host=${HOST_NAMES[2]}
    echo "# the platform is down, $host is stopped by plan and started again"
    kill -TERM "${PID_OF[$host]}"
    wait_for "its end" grep -q 'event="stopped"' "$RUN/$host.log"
    grep -o 'the planned stop is finished' "$RUN/$host.log"
    host_settings 2
    for i in 1 2; do
        cat >>"$RUN/$host.toml" <<EOF
[[peer]]
name = "${HOST_NAMES[$((i - 1))]}"
zone = "${HOST_ZONES[$((i - 1))]}"
packets = "127.0.1.$i:6081"
peers = "127.0.1.$i:6082"
operators = "127.0.1.$i:6083"
EOF
    done
    start "$host-again" "$BUILD/briarbarrowd" --settings "$RUN/$host.toml"
    wait_for "the configuration" metric_is 3 configuration_revision 5
    echo "it has revision $(metric 3 configuration_revision) in force"
    echo
}

# has_held_write: succeeds when the platform holds a write back.
has_held_write()
{
    curl -sf "http://$PLATFORM/standin/counts" | grep -q '"held_writes":1'
}

# A command that is paused between its read and its write must not undo what another one wrote.
paused_command()
{
    cp examples/medidas-alegres/services.toml "$RUN/late.toml"
    sed 's/parameters.port = 8002/parameters.port = 8092/' "$RUN/late.toml" >"$RUN/fast.toml"
    switch '{"hold_write": true}'
    ctl --who ana --reason "paused before its write" apply "$RUN/late.toml" \
        >"$RUN/late.txt" 2>&1 &
    local paused=$!
    wait_for "the paused write" has_held_write
    say --wait --reason "faster" apply "$RUN/fast.toml"
    switch '{"hold_write": false}'
    wait "$paused"
    local status=$?
    echo "# the command that was paused"
    cat "$RUN/late.txt"
    echo "exit status $status"
    echo
    say diff "$RUN/fast.toml"
}

session()
{
    say check examples/medidas-alegres/services.toml
    sed 's/template = "urgent-orders"/template = "urgent-order"/' \
        examples/medidas-alegres/services.toml >"$RUN/wrong.toml"
    say check "$RUN/wrong.toml"
    say diff examples/medidas-alegres/services.toml
    say get
    say --wait --reason "first day" apply examples/medidas-alegres/services.toml
    say apply examples/medidas-alegres/services.toml
    sed 's/parameters.port = 8002/parameters.port = 8082/' \
        examples/medidas-alegres/services.toml >"$RUN/port.toml"
    say diff "$RUN/port.toml"
    switch '{"lose_after": 1}'
    say --wait --reason "answer lost after the effect" apply "$RUN/port.toml"
    switch '{"lose_before": 1}'
    say --wait --reason "answer lost before the effect" apply \
        examples/medidas-alegres/services.toml
    switch '{"snapshot": "take"}'
    say --wait --reason "to be forgotten by the platform" apply "$RUN/port.toml"
    switch '{"snapshot": "restore"}'
    echo "# the platform came back old; the hosts keep what is in force"
    say status
    say apply examples/medidas-alegres/services.toml
    say --wait --reason "the platform came back old" restore
    say restore
    switch '{"down": true}'
    say apply "$RUN/port.toml"
    restart_without_platform
    switch '{"down": false}'
    say evacuate quito-z
    say --wait --reason "maintenance of the zone" evacuate cayambe
    say evacuations
    say evacuate cayambe
    say --wait --reason "maintenance is over" readmit cayambe
    say evacuations
    paused_command
    say history
    say frobnicate
    stranger_calls
    settings_change
}

start_platform || exit 1
for i in 0 1 2; do
    start_host "$i"
done
wait_for "3 live hosts" all_live 3 || exit 1
# Not in a pipe, which would run it in a subshell: stop_all must know the processes that it starts.
session >"$RUN/raw.txt" 2>&1
alike <"$RUN/raw.txt" >"$RUN/session.txt"
if [ -n "${WRITE_GOLDEN:-}" ]; then
    cp "$RUN/session.txt" "$GOLDEN"
fi
diff -u "$GOLDEN" "$RUN/session.txt" && echo "the session is the golden one"
