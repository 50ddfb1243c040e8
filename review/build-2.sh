#!/bin/sh
# Builds the stand-in that the scripts of the second review start. Run it after the build of
# the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/standin2 ./review/_standin2
