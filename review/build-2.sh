#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 6 to 9 into target/review-2; needs only rustc.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/6 review/7 review/8 review/9; do
  if [[ -f $case/case.rs ]]; then
    rustc --edition 2024 -O "$case/case.rs" -o "target/review-2/case-${case##*/}"
  fi
done
