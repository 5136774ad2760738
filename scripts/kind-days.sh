#!/usr/bin/env bash
# Writes scenario files ("days") for the users' bench into the folder DIR, one for each variant of
# each kind of fault or planned change. A day has one fault at 8 s and the same fault again at 19 s,
# and no other fault. The contracts of a site decide which days it runs.
set -eu
DIR=${1:?usage: kind-days.sh DIR}
mkdir -p "$DIR"

# day NAME LIST ENTRY: writes one day. LIST is plan or faults; ENTRY is the fault without its time.
day() {
    cat >"$DIR/$1.toml" <<EOF
name = "$1"
slot = "trouble"
seed = 7
length_s = 34.0
$2 = [
  { at = 8.0, $3 },
  { at = 19.0, $3 },
]
EOF
}

# variants PREFIX LIST ENTRY HOW...: writes a day for each variant; "-" means without a variant.
variants() {
    local prefix=$1 list=$2 entry=$3 how
    shift 3
    for how in "$@"; do
        if [ "$how" = - ]; then
            day "$prefix" "$list" "$entry"
        else
            day "$prefix-${how// /-}" "$list" "$entry, how = \"$how\""
        fi
    done
}

variants burst faults 'kind = "burst", x = 3.0, for_s = 4.0' -
variants shift faults 'kind = "shift", share = 0.9, for_s = 6.0' -
variants grey faults 'kind = "srv_grey", share = 0.25, x = 0.5, for_s = 6.0' \
    errors shed busy hang reset mute slow 'errors one_zone'
variants lying faults 'kind = "srv_lying_health", share = 0.25, for_s = 6.0' errors hang reset bad
variants flap faults 'kind = "srv_flap", share = 0.25, gap_s = 1.0, for_s = 6.0' -
variants crash faults 'kind = "srv_crash", share = 0.25, for_s = 4.0' - gone
variants slow-servers faults 'kind = "srv_slow", share = 0.3, x = 6.0, for_s = 6.0' -
variants srv-cut faults 'kind = "srv_cut", share = 0.3, for_s = 5.0' \
    - fronts some 'some lossy' one_way reset reborn
variants release plan 'kind = "release", share = 0.6, x = 2.0, gap_s = 0.8' -
variants reuse faults 'kind = "replace_with_reuse", share = 0.2' - dark side
variants reuse plan 'kind = "replace_with_reuse", share = 0.2' drain
variants scale-out plan 'kind = "scale_out", share = 0.4, gap_s = 2.0' -
variants scale-in plan 'kind = "scale_in", share = 0.2' - spot
variants roll plan 'kind = "roll_term", share = 1.0, x = 1.0, gap_s = 0.8' - busy remove
variants node-kill faults 'kind = "node_kill", share = 0.3, for_s = 3.0' - power
variants herd faults 'kind = "herd_kill", share = 0.9, for_s = 2.0' - power taken
variants freeze faults 'kind = "node_freeze", share = 0.5, for_s = 4.0' -
variants slow-machines faults 'kind = "node_slow", share = 0.5, x = 8.0, for_s = 6.0' -
variants add-nodes plan 'kind = "add_nodes"' -
variants zone-cut faults 'kind = "zone_cut", for_s = 5.0' - reset refuse
variants core-cut faults 'kind = "core_cut", count = 1, for_s = 5.0' \
    - behind split all near one_way seeds both lure relieve 'leader race' 'meet drain'
variants node-cut faults 'kind = "node_cut", share = 0.3, for_s = 5.0' \
    - all servers 'servers reborn' refuse
variants store-down faults 'kind = "platform_down", for_s = 6.0' \
    silent busy reset 'silent lapse' 'busy lapse' 'reset lapse'
variants store-refuses faults 'kind = "platform_down", share = 0.5, for_s = 8.0' \
    'nodes busy' 'nodes many' 'nodes reset' 'nodes silent' 'nodes leader' 'nodes many revoke' \
    'nodes silent revoke meet'
variants store-slow faults 'kind = "platform_slow", x = 80.0, for_s = 6.0' -
variants store-lost faults 'kind = "platform_lost", x = 0.5, for_s = 6.0' - late
variants store-compact faults 'kind = "platform_compact", x = 5.0, for_s = 6.0' - drain
variants config plan 'kind = "config_change"' route timeout weights
variants big-config plan 'kind = "big_config", count = 600' -
variants config-storm plan 'kind = "config_storm", for_s = 5.0, gap_s = 0.06' -
variants ack-kill faults 'kind = "after_ack_kill", count = 2, for_s = 3.0' - timed kill
variants clock faults 'kind = "clock_step", share = 0.6, x = 3000.0, for_s = 5.0' back ahead
variants hup plan 'kind = "hup", share = 1.0, gap_s = 1.0' -
variants reset-conns faults 'kind = "reset_conns", share = 0.6, x = 1.0' -
echo "$(find "$DIR" -name '*.toml' | wc -l) days in $DIR"
