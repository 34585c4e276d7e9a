#!/bin/sh
# Builds the stand-ins of the second review's cases (review/6 to review/10). Run it after the build of the deploy file.
cd "$(dirname "$0")/.." && mkdir -p bin && exec go build -o bin/standin2 ./review/_standin2
