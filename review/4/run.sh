#!/bin/sh
folder=$(cd "$(dirname "$0")" && pwd)
exec "$folder/../run-case.sh" "$folder" case4.Case4
