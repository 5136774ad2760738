# Functions shared by the demo and the end-to-end tests: they start hosts, backend servers and the
# platform stand-in on loopback addresses. The sourcing script sets RUN (folder for settings and
# logs) and BUILD (folder of the programs).

HOST_NAMES=(quito-a-1 quito-b-1 cayambe-1 quito-a-2 quito-b-2)
HOST_ZONES=(quito-a quito-b cayambe quito-a quito-b)
PLATFORM=127.0.0.1:12379
PIDS=()
declare -A PID_OF

# start NAME COMMAND...: starts a process in the background, with its output in RUN/NAME.log.
start()
{
    local name=$1
    shift
    "$@" >"$RUN/$name.log" 2>&1 &
    PIDS+=($!)
    PID_OF[$name]=$!
}

# Kills the processes that `start` has started, and no others.
stop_all()
{
    local pid
    for pid in "${PIDS[@]}"; do
        kill -KILL "$pid" 2>/dev/null
    done
    wait 2>/dev/null
}

# host_settings INDEX: writes the settings file of one host.
host_settings()
{
    local i=$1
    local ip=127.0.1.$((i + 1))
    cat >"$RUN/${HOST_NAMES[$i]}.toml" <<EOF
[host]
name = "${HOST_NAMES[$i]}"
zone = "${HOST_ZONES[$i]}"
[listen]
packets = "$ip:6081"
peers = "$ip:6082"
operators = "$ip:6083"
[fabric]
sources = ["127.0.0.1"]
return = "127.0.0.1:6400"
[platform]
endpoint = "$PLATFORM"
[stop]
timeout_ms = 40000
EOF
}

# start_host INDEX: starts the daemon of one host.
start_host()
{
    host_settings "$1"
    start "${HOST_NAMES[$1]}" "$BUILD/briarbarrowd" --settings "$RUN/${HOST_NAMES[$1]}.toml"
}

# Starts the platform stand-in and waits until it responds.
start_platform()
{
    start platform "$BUILD/standin_platform" --listen "$PLATFORM"
    wait_for "the platform" curl -sf -o "$RUN/counts" "http://$PLATFORM/standin/counts"
}

# start_backends SERVICE COUNT FIRST PORT V4 V6 SERVICE_TIME_MS: starts the backend servers of a
# service on 127.0.2.FIRST and the COUNT - 1 addresses that follow.
start_backends()
{
    local i
    for ((i = 0; i < $2; i++)); do
        start "$1-$((i + 1))" "$BUILD/standin_backend" --name "$1-$((i + 1))" --service "$1" \
            --listen "127.0.2.$(($3 + i)):6081" --callers 127.0.0.1:6400 \
            --reports 127.0.0.1:6401 --address "$5" --address "$6" --port "$4" \
            --service-time-ms "$7" --long-bytes-per-second 100000
    done
}

# wait_for WHAT COMMAND...: retries the command until it succeeds, for up to a minute.
wait_for()
{
    local what=$1 tries
    shift
    for ((tries = 0; tries < 600; tries++)); do
        if "$@" >/dev/null 2>&1; then
            return 0
        fi
        sleep 0.1
    done
    echo "waited in vain for $what" >&2
    return 1
}

# Runs briarbarrowctl against the platform stand-in.
ctl()
{
    "$BUILD/briarbarrowctl" --platform "$PLATFORM" --templates templates "$@"
}

# all_live COUNT: succeeds when `briarbarrowctl status` lists exactly COUNT live hosts.
all_live()
{
    [ "$(ctl status | grep -c '  live  ')" -eq "$1" ]
}
