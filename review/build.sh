#!/bin/sh
# Builds the programs that the scripts start, besides those of the deploy file.
# Run from the root of the repository, after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cc; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers "$source" -x c++ review/support/json.cc \
        -o "target/review/case-$number" -pthread
done
