#!/bin/sh
# Builds the stand-ins and the cases into review/target, after deploy/build. Needs a JDK 17 and no network.
set -eu
cd "$(dirname "$0")/.."
out=review/target/classes
rm -rf "$out"
mkdir -p "$out"
find review -name '*.java' ! -path 'review/target/*' > review/target/sources
javac -encoding UTF-8 -nowarn -cp "$(printf '%s:' target/streamring/jackson-*.jar)" -d "$out" @review/target/sources
cp review/standin/names.properties "$out/standin/"
