#!/usr/bin/env bash
# Runs every scenario with the seeds A..B, side by side. Passes over what KNOWN-RED.txt lists.
set -u
cd "$(dirname "$0")/.." || exit 1
BUILD=${BUILD:-build}
SEEDS=${1:-1..100}
SCENARIOS=(steady host-leaves host-joins rolling-restart host-crash two-crash crash-while-joining
    paused-host-wakes zone-cut zone-cut-and-heal platform-down uneven-config backend-drain
    tuple-reuse storm)
printf '%s\n' "${SCENARIOS[@]}" | xargs -P "$(nproc)" -I{} \
    "$BUILD/briarbarrow_bench" flows --scenario {} --seeds "$SEEDS" --quiet \
    --known-red KNOWN-RED.txt
RESULT=$?
[ "$RESULT" -eq 0 ] && echo "sweep $SEEDS: no new broken promise"
exit "$RESULT"
