#!/bin/sh
# Runs one case: run.sh FOLDER CLASS
folder=$(cd "$1" && pwd)
root=$(cd "$(dirname "$0")/../.." && pwd)
[ -f "$root/target/marjoramgw-direct.jar" ] && [ -d "$root/review/out" ] || exit 2
mkdir -p "$root/review/out/logs-$2"
exec java -Xmx512m -cp "$root/review/out" -Droot="$root" -Dlogs="$root/review/out/logs-$2" "$2" "$folder/record.txt"
