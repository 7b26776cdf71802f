#!/usr/bin/env bash
# Builds the stand-ins of review/11 to review/15 into target/review-3. Needs Java 17 and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."

rm -rf target/review-3
mkdir -p target/review-3
javac --release 17 -Xlint:all -Xlint:-serial -Xlint:-unchecked -d target/review-3 review/stand-ins-3/*.java
