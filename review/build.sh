#!/usr/bin/env bash
# Compiles the stand-ins and the tests of the cases. Needs the JDK alone.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf classes
mkdir classes
javac -Xlint:all -d classes $(find . -name '*.java')
