#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 after the build of the deploy file. They use
# the JDK and the JSON library that the project's build has put into target/lib.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -nowarn -d target/review-2 -cp 'target/lib/*' review/kit2/*.java
