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
rm -rf target/deps/yuccarill
for source in packages/yuccarill-core packages/yuccarill-wire \
        packages/yuccarill-daemon platform; do
    cp -R "$source/src/yuccarill" target/deps/
done
