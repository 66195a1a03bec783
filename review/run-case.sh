#!/bin/sh
# Runs the case whose class is named, from the root of the repository; run.sh of each case calls this.
folder=$1
main=$2
trouble=$3
cd "$(dirname "$0")/.." || exit 2
[ -d review/target/classes ] && [ -f target/streamring/class-path ] || { echo "not built" >&2; exit 2; }
java -Xmx1500m -cp "review/target/classes:$(printf '%s:' target/streamring/jackson-*.jar)" "$main" "$folder" "$trouble"
code=$?
[ "$code" -eq 0 ] || [ "$code" -eq 1 ] || exit 2
exit "$code"
