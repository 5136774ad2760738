#!/usr/bin/env bash
# Plays the case and writes record.txt. Needs the build of the deploy file and review/build-3.sh.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves
# the disruption out.
cd "$(dirname "$0")/../.." || exit 2
PLAYER=target/review-3/review_cases
[ -x "$PLAYER" ] && [ -x target/briarbarrow_platformd ] || exit 2
exec "$PLAYER" lost-history review/15/record.txt
