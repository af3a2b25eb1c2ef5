#!/bin/sh
# Builds the programs of the cases 6 to 10, stand-ins included, into target/review-2/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
    if [ -f "review/$number/case.cpp" ]; then
        c++ -std=c++20 -O1 -pthread -o "target/review-2/case-$number" "review/$number/case.cpp"
    fi
done
