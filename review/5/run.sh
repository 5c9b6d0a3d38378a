#!/usr/bin/env bash
exec "$(dirname "$0")/../standins-2/run-case.sh" keys review/5/record.txt
