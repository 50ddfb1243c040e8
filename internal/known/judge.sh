#!/usr/bin/env bash
# Runs go test with the given arguments and judges the result by a list of known failures:
#
#	internal/known/judge.sh KNOWN-COMMAND LIST ARGUMENTS...
set -uo pipefail
judge=$1 list=$2
shift 2
go test -json "$@" | $judge --list "$list"
status=("${PIPESTATUS[@]}")
# go test ends with 1 if a test has failed, which the judge decides on, and with another
# status if it could not run the tests.
if [ "${status[0]}" -gt 1 ]; then
	exit "${status[0]}"
fi
exit "${status[1]}"
