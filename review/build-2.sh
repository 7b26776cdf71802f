#!/usr/bin/env bash
# Builds the stand-ins of the second review, which the scripts in review/6 to review/10 start.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -d target/review-2 review/stand-in-2/*.java
