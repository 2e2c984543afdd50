#!/bin/sh
# Runs the case class $2 of the folder $1; without its disruption if $3 is 0.
folder=$(cd "$1" && pwd)
root=$(cd "$folder/../.." && pwd)
command -v java > /dev/null || { echo "no java" >&2; exit 2; }
[ -f "$root/target/review/$2.class" ] || { echo "run review/build.sh first" >&2; exit 2; }
exec java -Xmx512m -Dreview.root="$root" -Dreview.record="$folder/record.txt" -Dreview.trouble="$3" \
  -cp "$root/target/review" "$2"
