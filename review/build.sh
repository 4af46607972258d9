#!/usr/bin/env bash
# Builds the stand-ins of the cases: review/build.sh. The daemon is built by the deploy file.
set -euo pipefail
here="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
rm -rf "$here/target"
javac -d "$here/target" "$here"/standins/*.java
