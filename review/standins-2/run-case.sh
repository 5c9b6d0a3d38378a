#!/usr/bin/env bash
# Runs a scripted case: run-case.sh NAME RECORD. Exit codes: 0 the rules held; 1 a rule was broken;
# 2 the case could not run.
set -uo pipefail
cd "$(dirname "$0")/../.."

# Time after which a case is ended, in seconds.
case_limit_s=110

folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout "$case_limit_s" target/review-2/standin case "$1" "$folder" "$2"
code=$?
if ((code > 1)); then
    # The case may not have ended the processes that it started.
    [[ -f "$folder/processes" ]] && xargs kill -9 <"$folder/processes" 2>/dev/null
    exit 2
fi
exit "$code"
