#!/bin/sh
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
exec python3 "$here/case.py"
