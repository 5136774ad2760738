#!/usr/bin/env bash
# Runs the program of a case: run_case.sh PROGRAM FOLDER. It writes FOLDER/record.txt and exits with
# 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. The daemons end with the
# program that started them, and a time limit ends that.
set -u
cd "$(dirname "$0")/.."
PROGRAM=target/review/$1
if [ ! -x "$PROGRAM" ] || [ ! -x target/briarbarrow_platformd ]; then
    echo "not built: run the build of the deploy file and review/build.sh first" >&2
    exit 2
fi
LOGS=$(mktemp -d)
trap 'rm -rf "$LOGS"' EXIT
timeout -k 2 115 "$PROGRAM" "$2/record.txt" "$LOGS"
RESULT=$?
[ "$RESULT" -le 1 ] || exit 2
exit "$RESULT"
