#!/bin/sh
# Build the stand-ins that the scripts of the cases start: the project's own
# ones, beside what the build of the deploy file has put into target/deps.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
cp -R packages/standins/src/. target/review/
cp review/common/*.py target/review/
python3 -m compileall -q target/review >/dev/null 2>&1 || true
