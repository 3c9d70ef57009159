#!/bin/sh
# Builds the stand-ins of the scripts of this review. Needs only the JDK.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/rig-2/*.java
