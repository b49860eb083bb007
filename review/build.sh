#!/bin/bash
# Builds the stand-ins and clients of the cases. Needs the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -Xlint:all -d target/review -cp "target/lib/*" review/kit/*.java
