#!/bin/sh
# Runs the case class $2 of the folder $1; see Deployment.main for the exit codes.
folder=$(cd "$1" && pwd)
root=$(cd "$folder/../.." && pwd)
[ -f "$root/target/review/$2.class" ] || { echo "run review/build.sh first" >&2; exit 2; }
java -Xmx512m -Dreview.root="$root" -Dreview.record="$folder/record.txt" -cp "$root/target/review" "$2"
code=$?
[ $code -le 2 ] || code=2
exit $code
