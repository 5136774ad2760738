#!/usr/bin/env bash
# A whole operator's session against three real hosts and the platform stand-in with its failures.
# What it prints, with ids and times made alike, must be the golden file. No step is bounded by a
# measured time: waits end when the condition holds. WRITE_GOLDEN=1 writes the golden file anew.
set -u
cd "$(dirname "$0")/.." || exit 1
BUILD=${BUILD:-build}
RUN=$(mktemp -d)
GOLDEN=src/testing/golden/operator-session.txt
PLATFORM=127.0.0.1:12390
. scripts/lib.sh
PLATFORM=127.0.0.1:12390
trap 'stop_all; rm -rf "$RUN"' EXIT

alike()
{
    sed -E -e 's/[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}/CHANGE-ID/g' \
        -e 's/[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9:.]+Z/TIME/g' \
        -e 's/entries [0-9]+/entries N/; s/from fabric [0-9]+/from fabric N/' \
        -e "s|$RUN|RUN|g"
}

# say COMMAND...: prints an operator's command, what it says, and its exit status.
say()
{
    echo "\$ briarbarrowctl $*"
    ctl --who maria "$@" 2>&1
    echo "exit status $?"
    echo
}

switch()
{
    echo "# the platform: $1"
    curl -sf -o "$RUN/switched" -d "$1" "http://$PLATFORM/standin/switch"
}

has_revision()
{
    [ "$(ctl status | grep -c "revision $1 ")" -eq 3 ]
}

session()
{
    say check examples/medidas-alegres/services.toml
    sed 's/template = "urgent-orders"/template = "urgent-order"/' \
        examples/medidas-alegres/services.toml >"$RUN/wrong.toml"
    say check "$RUN/wrong.toml"
    say get
    say --wait --reason "first day" apply examples/medidas-alegres/services.toml
    say apply examples/medidas-alegres/services.toml
    sed 's/parameters.port = 8002/parameters.port = 8082/' \
        examples/medidas-alegres/services.toml >"$RUN/port.toml"
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
    switch '{"down": false}'
    say history
    say frobnicate
}

start_platform || exit 1
for i in 0 1 2; do
    start_host "$i"
done
wait_for "3 live hosts" all_live 3 || exit 1
session | alike >"$RUN/session.txt"
if [ -n "${WRITE_GOLDEN:-}" ]; then
    cp "$RUN/session.txt" "$GOLDEN"
fi
diff -u "$GOLDEN" "$RUN/session.txt" && echo "the session is the golden one"
