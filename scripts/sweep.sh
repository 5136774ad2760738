#!/usr/bin/env bash
# Runs every flow scenario with the seeds A..B (default 1..100), scenarios in parallel. A failure of
# a run that KNOWN-RED.txt lists does not fail the script.
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
