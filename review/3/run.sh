#!/bin/sh
folder=$(cd "$(dirname "$0")" && pwd)
exec "$folder/../run-case.sh" "$folder" case3.Case3
