#!/bin/sh
# Builds the stand-ins of the second review's scripts, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/standin2 ./review/second/platform
