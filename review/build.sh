#!/bin/sh
# Builds the stand-ins of the cases into build-review/. The gateway itself is built by the command of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p build-review
for folder in review/[1-5]; do
    if [ -f "$folder/case.cpp" ]; then
        g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -o "build-review/case-${folder##*/}" "$folder/case.cpp"
    fi
done
