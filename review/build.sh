#!/usr/bin/env bash
# Builds the stand-ins and clients of all cases into target/review, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[1-5]; do
  if [[ -f $case/case.rs ]]; then
    rustc --edition 2021 -O "$case/case.rs" -o "target/review/case-${case##*/}"
  fi
done
