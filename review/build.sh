#!/usr/bin/env bash
# Builds the stand-ins of the cases that are scripts, into target/. It needs no network.
set -eu
cd "$(dirname "$0")/standin"
mkdir -p ../../target
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-standin .
