#!/usr/bin/env bash
# Builds the stand-in that the scripts of the cases start. It needs the standard library only.
set -eu
cd "$(dirname "$0")/_standin"
mkdir -p ../../target
GOWORK=off GOFLAGS=-mod=mod go build -ldflags=-linkmode=external -o ../../target/review-standin .
