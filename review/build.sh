#!/usr/bin/env bash
# Builds the stand-ins and checks of the scripts into target/review. Needs the JDK only.
set -euo pipefail
cd "$(dirname "$0")/.."

rm -rf target/review
mkdir -p target/review
javac --release 17 -Xlint:all -d target/review review/rig/*.java
