#!/usr/bin/env bash
# Builds the programs that the scripts of this review start, beside the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-3
for source in review/stage-3/*.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build-review-3/$(basename "$source" .cpp)" "$source"
done
