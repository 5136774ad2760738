#!/usr/bin/env bash
# Checks that every source file is formatted and that the linter has nothing to say.
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
