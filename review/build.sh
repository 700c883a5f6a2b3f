#!/usr/bin/env bash
# Builds the programs of the cases into review/build; needs the C++ compiler of the project's build alone.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for source in */case.cpp; do
  name=$(dirname "$source")
  g++ -std=c++20 -O1 -pthread -I. -o "build/case-$name" "$source"
done
