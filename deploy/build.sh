#!/bin/sh
# Install the daemon and what it needs into target/deps.
set -eu
stamp=target/deps/.stamp
sources=$(find packages/core packages/adapters packages/daemon platform \
    deploy constraints.txt -name '*.py' -newer "$stamp" 2>/dev/null | head -1)
if [ -f "$stamp" ] && [ -z "$sources" ]; then
    exit 0
fi
mkdir -p target/deps
PIP="python3 -m pip -q --disable-pip-version-check"
if [ ! -f "$stamp" ] || [ deploy/requirements.txt -nt "$stamp" ]; then
    $PIP install -U --target target/deps -c constraints.txt \
        -r deploy/requirements.txt
fi
for package in packages/core packages/adapters packages/daemon platform; do
    cp -R "$package"/src/. target/deps/
done
python3 -m compileall -q target/deps >/dev/null 2>&1 || true
touch "$stamp"
