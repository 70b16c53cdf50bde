#!/bin/sh
# Build the stand-ins of the review's scripts: plain Python with no
# dependencies, so compiling them is all there is to do.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins
