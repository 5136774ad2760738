#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review-2. Needs the compiler of the deploy file only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for SOURCE in review/*/case.cpp; do
    NUMBER=$(basename "$(dirname "$SOURCE")")
    g++ -std=c++20 -O1 -Wall -Wextra -o "target/review-2/case-$NUMBER" "$SOURCE" &
done
wait
for SOURCE in review/*/case.cpp; do
    test -x "target/review-2/case-$(basename "$(dirname "$SOURCE")")"
done
