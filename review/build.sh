#!/usr/bin/env bash
# Builds the programs that the scripts of the cases run, into target/review. Needs a C++20 compiler
# and nothing else; the daemon itself comes from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
OUT=target/review
mkdir -p "$OUT"
for source in review/standins/*.cpp; do
    g++ -std=c++20 -O2 -Wall -Wextra -c "$source" -o "$OUT/$(basename "$source" .cpp).o" &
done
wait
for source in review/cases/*.cpp; do
    g++ -std=c++20 -O2 -Wall -Wextra "$source" "$OUT"/*.o -o "$OUT/$(basename "$source" .cpp)" &
done
wait
for source in review/cases/*.cpp; do
    test -x "$OUT/$(basename "$source" .cpp)"
done
