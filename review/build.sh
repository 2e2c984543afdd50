#!/bin/sh
# Builds the stand-ins and the cases of the review, with the JDK alone, into target/review.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review"
javac -encoding UTF-8 -d "$root/target/review" "$root"/review/standins/*.java "$root"/review/[1-9]/*.java
