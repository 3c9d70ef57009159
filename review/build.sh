#!/bin/sh
# Builds the stand-ins and the scripts of the review into review/out.
set -e
cd "$(dirname "$0")"
mkdir -p out
javac -nowarn -d out rig/*.java
