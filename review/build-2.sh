#!/usr/bin/env bash
# Builds the stand-ins of the review's cases 6 and up into build-review-2, from sources in review/ alone. The client
# proxy itself comes from the build of deploy/balancer.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for source in review/{6,7,8,9,10}/case.cpp; do
  [[ -e $source ]] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -I review/standins-2 "$source" -o "build-review-2/case-$number"
done
