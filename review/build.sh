#!/bin/sh
# Builds the stand-ins of the review into bin/. They use the standard library only. The node itself is built before, by
# the build command of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-standin ./review/_standin
