#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. Needs a JDK alone.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac --release 17 -Xlint:all -d target/review-2 review/java-2/review2/*.java
