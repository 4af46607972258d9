#!/usr/bin/env bash
# Builds the stand-ins and the clients of the cases 11 to 15. Needs the JDK only.
set -eu
cd "$(dirname "$0")/.."
rm -rf review/harness-3/target
mkdir -p review/harness-3/target/classes
javac -encoding UTF-8 -d review/harness-3/target/classes review/harness-3/src/*.java
