#!/bin/bash
# Builds the stand-ins and the tests of all cases. Run after the build of the deploy file; needs a JDK 17 and no network.
set -eu
cd "$(dirname "$0")/.."
rm -rf review/target
mkdir -p review/target
javac -nowarn -encoding UTF-8 -cp target/havenford.jar -d review/target $(find review -name '*.java')
