#!/bin/sh
# Builds what the scripts of review/6 to review/10 start, beside the router that the deploy file has built.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
cmake --build "$root/target" --target standin
mkdir -p "$root/target/review-2"
for name in 6 7 8 9 10; do
    source="$root/review/$name/case.cc"
    [ -f "$source" ] || continue
    ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -pthread -I "$root/review/support-2" "$source" \
        -o "$root/target/review-2/case-$name"
done
