#!/bin/sh
# Builds the stand-ins of cases 6 to 10 into target/review-2.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -d target/review-2 review/standins-2/rig/*.java
