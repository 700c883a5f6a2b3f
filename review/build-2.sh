#!/usr/bin/env bash
# Builds the programs of the review's cases 6 to 10, which hold their stand-ins, into build-review-2. The client proxy itself
# comes from the build of deploy/balancer.toml. (review/build.sh builds each case.cpp: those of the earlier review.)
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for n in 6 7 8 9 10; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -I review/standins-2 "review/$n/program.cpp" -o "build-review-2/case-$n"
done
