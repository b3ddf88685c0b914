# Run the script "case.py" of a case; the case's "run.sh" sources this file.
# Exit status: 0 if the rule held, 1 if it was broken, 2 if it couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
if [ ! -d target/deps ] || [ ! -d target/review-2 ]; then
    echo 'run the build of deploy/system.toml and review/build-2.sh first' >&2
    exit 2
fi
PYTHONPATH="$PWD/target/deps:$PWD/target/review-2:$PWD/review/common-2" \
    exec python3 -S "$here/case.py" "$here"
