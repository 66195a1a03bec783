#!/bin/sh
# Builds the stand-ins of the second review's scripts into target/review-2. Run after deploy/build; needs no network.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
rm -rf "$out"
mkdir -p "$out"
cp review/standins-2/resources/names.properties "$out/"
javac -nowarn -cp "$(ls target/streamring/jackson-*.jar | tr '\n' ':')" -d "$out" \
  $(find review/standins-2/src -name '*.java')
