#!/bin/sh
# Put the libraries and the packages of this workspace under target/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/deps
if [ ! target/.libraries -nt deploy/requirements.txt ] \
        || [ ! target/.libraries -nt constraints.txt ]; then
    python3 -m pip install -q -U --target target/deps \
        -r deploy/requirements.txt
    touch target/.libraries
fi
rm -rf target/new
mkdir target/new
for source in packages/yuccarill-core packages/yuccarill-wire \
        packages/yuccarill-daemon platform; do
    cp -R "$source/src/yuccarill" target/new/
done
# Left alone where nothing has changed: processes that start from there while
# it is taken away end with modules that are not found.
if ! diff -rq -x __pycache__ target/new/yuccarill target/deps/yuccarill \
        > target/changes.txt 2>&1; then
    rm -rf target/deps/yuccarill
    mv target/new/yuccarill target/deps/yuccarill
fi
rm -rf target/new
