#!/bin/sh
# Builds the programs of the review's cases, with their stand-ins, under target/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for folder in review/[0-9]*; do
	go build -o "target/review/case$(basename "$folder")" "./$folder"
done
