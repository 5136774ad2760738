#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/review-3, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/standin-3"
OUT=../../target/review-3
mkdir -p "$OUT"
g++ -std=c++20 -O2 -Wall -Wextra -o "$OUT/review_cases" cases.cpp world.cpp store.cpp sockets.cpp
