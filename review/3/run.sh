#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
trouble=${TROUBLE:-1}
exec "$folder/../run-case.sh" "$folder" case3.Case3 "$trouble"
