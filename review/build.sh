#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, and the cases themselves, into target/review.
# Needs a JDK 17 and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -Xlint:all -d target/review review/*.java
cp review/names.properties target/review/
