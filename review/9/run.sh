#!/usr/bin/env bash
# Runs the case; see claim.txt. Exit: 1 the rule was broken, 0 it held, 2 the case could not run.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
program="target/review-2/case-$(basename "$here")"
[[ -x $program && -x target/release/dandelionfront ]] || { echo "build first: deploy file and review/build-2.sh"; exit 2; }
RECORD="$here/record.txt" timeout -k 5 115 "$program"
code=$?
[[ $code == 0 || $code == 1 ]] && exit "$code"
exit 2
