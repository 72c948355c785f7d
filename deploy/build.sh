# Installs the run-time dependencies of the cell into target/deps, pinned by hash.
set -eu
[ target/deps/.done -nt deploy/requirements.lock ] && exit 0
rm -rf target/deps
python3 -m pip install --quiet --disable-pip-version-check --require-hashes --no-deps --target target/deps \
    -r deploy/requirements.lock
touch target/deps/.done
