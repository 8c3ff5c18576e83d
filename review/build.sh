#!/usr/bin/env bash
# Compiles the programs of the cases, and the project's own stand-ins that they use, into
# target/review. Needs the build of deploy/system.toml and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
{
    find platform/src/test/java/io/masticpond/platform/day -name '*.java' ! -name '*Test.java' -print0
    find review/src -name '*.java' -print0
} | xargs -0 javac -d target/review -cp 'target/platform/masticpond.jar:target/platform/lib/*'
