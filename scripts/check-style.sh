#!/usr/bin/env bash
# Checks the formatting of all source files with clang-format and lints them with clang-tidy.
# Needs a configured build folder (BUILD) for the compile commands.
set -u
cd "$(dirname "$0")/.." || exit 1
BUILD=${BUILD:-build}
mapfile -t SOURCES < <(git ls-files '*.cpp')
mapfile -t ALL < <(git ls-files '*.cpp' '*.hpp')
echo "formatter: ${#ALL[@]} files"
clang-format --dry-run --Werror "${ALL[@]}" || exit 1
echo "linter: ${#SOURCES[@]} files"
printf '%s\n' "${SOURCES[@]}" | xargs -P "$(nproc)" -n 2 clang-tidy -p "$BUILD" --quiet \
    >"$BUILD/linter.log" 2>"$BUILD/linter.err"
RESULT=$?
grep -E 'warning:|error:' "$BUILD/linter.log" | sort -u
[ "$RESULT" -eq 0 ] && echo "style: clean"
exit "$RESULT"
