#!/usr/bin/env bash
# Exits with 1 if the rule in claim.txt was broken, 0 if it held, and 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.."
exec java -cp target/review-2 ResumedText review/9
