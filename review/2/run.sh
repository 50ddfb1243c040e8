#!/usr/bin/env bash
# Plays the case. Needs the build of the deploy file and review/build.sh.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] || exit 2
exec target/review/standin restore "review/2"
