#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out; SEED (default 1) changes the numbers that callers and servers draw.
set -u
HERE=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$HERE/../.." && pwd)
CASE="$ROOT/target/review-2/case-$(basename "$HERE")"
[ -x "$CASE" ] || exit 2
FOLDER=$(mktemp -d) || exit 2
trap 'rm -rf "$FOLDER"' EXIT
timeout 115 "$CASE" "$ROOT" "$FOLDER" "$HERE/record.txt" "${TROUBLE:-1}" "${SEED:-1}"
STATUS=$?
case $STATUS in 0 | 1) exit $STATUS ;; *) exit 2 ;; esac
