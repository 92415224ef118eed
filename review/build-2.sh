#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -encoding UTF-8 -d target/review-2 -cp target/havenford.jar review/standins-2/*.java
