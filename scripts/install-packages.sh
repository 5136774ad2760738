#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the demo need. Does nothing when all
# are installed.
set -eu
PACKAGES=(
    g++ cmake ninja-build pkg-config make curl gawk
    clang-format clang-tidy valgrind
    libglib2.0-dev libsoup-3.0-dev libxxhash-dev liblwip-dev libhttp-parser-dev
    libmsgpack-cxx-dev libtomlplusplus-dev libcxxopts-dev libeasyloggingpp-dev
    libboost-dev doctest-dev nlohmann-json3-dev libbenchmark-dev
)
MISSING=()
for package in "${PACKAGES[@]}"; do
    status=$(dpkg-query -W -f '${db:Status-Status}' "$package" 2>/dev/null || true)
    [ "$status" = installed ] || MISSING+=("$package")
done
if [ "${#MISSING[@]}" -eq 0 ]; then
    exit 0
fi
echo "installing: ${MISSING[*]}"
SUDO=""
[ "$(id -u)" -eq 0 ] || SUDO=sudo
$SUDO apt-get update -q
DEBIAN_FRONTEND=noninteractive $SUDO apt-get install -q -y --no-install-recommends "${MISSING[@]}"
