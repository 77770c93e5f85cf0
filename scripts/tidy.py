"""Runs clang-tidy on sources and remembers those that passed.

Usage: tidy.py FOLDER SOURCE... with FOLDER holding compile_commands.json.

A source is skipped if it passed before with the same content, included files,
compile command, configuration and clang-tidy. Findings are never remembered.
The record is kept in $GREENGAGE_TIDY_CACHE, or in greengageusher/tidy below the
user's cache folder. Exits 0 if no source has a finding.
"""

import concurrent.futures
import functools
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent


def cache_folder():
    """Returns the folder of the record, which holds an empty file per pass."""
    named = os.environ.get("GREENGAGE_TIDY_CACHE")
    if named:
        return pathlib.Path(named)
    caches = os.environ.get("XDG_CACHE_HOME") or pathlib.Path.home() / ".cache"
    return pathlib.Path(caches) / "greengageusher" / "tidy"


@functools.lru_cache(maxsize=None)
def content_hash(path):
    """Returns the hash of a file's content."""
    return hashlib.sha256(pathlib.Path(path).read_bytes()).hexdigest()


def included_files(command):
    """Returns all files that a compile command reads, the source included."""
    arguments = ["clang++"] + command[1:]
    output = arguments.index("-o")
    del arguments[output:output + 2]
    rule = subprocess.run(arguments + ["-w", "-M", "-MT", "rule"], capture_output=True, text=True,
                          check=True, cwd=ROOT).stdout
    return sorted(shlex.split(rule.replace("\\\n", " "))[1:])


def verdict_key(command, tool, configuration):
    """Returns the key under which a pass of a compile command is recorded.

    It does not depend on the location of the checkout."""
    digest = hashlib.sha256()
    relative = [word.replace(str(ROOT), ".") for word in command]
    digest.update(json.dumps([tool, configuration, relative]).encode())
    for path in included_files(command):
        resolved = os.path.normpath(os.path.join(ROOT, path))
        name = resolved.replace(str(ROOT), ".")
        digest.update(f"{name} {content_hash(resolved)}\n".encode())
    return digest.hexdigest()


def check(source, command, folder, tool, configuration):
    """Checks one source. Returns whether it was skipped, and its findings."""
    try:
        record = cache_folder() / verdict_key(command, tool, configuration)
    except subprocess.CalledProcessError:
        record = None  # The source does not compile; clang-tidy says why.
    if record and record.exists():
        return True, ""
    result = subprocess.run(["clang-tidy", "--quiet", "-p", folder, source], capture_output=True,
                            text=True, check=False, cwd=ROOT)
    if result.returncode != 0 or result.stdout.strip():
        return False, result.stdout + (result.stderr if not result.stdout.strip() else "")
    if record:
        record.parent.mkdir(parents=True, exist_ok=True)
        record.touch()
    return False, ""


def main():
    folder, sources = sys.argv[1], sys.argv[2:]
    entries = json.loads((pathlib.Path(folder) / "compile_commands.json").read_text())
    commands = {os.path.relpath(entry["file"], ROOT): shlex.split(entry["command"])
                for entry in entries}
    tool = subprocess.run(["clang-tidy", "--version"], capture_output=True, text=True,
                          check=True).stdout
    configuration = (ROOT / ".clang-tidy").read_text()
    skipped, failed = 0, 0
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        checks = [pool.submit(check, source, commands[source], folder, tool, configuration)
                  for source in sources]
        for done in concurrent.futures.as_completed(checks):
            was_skipped, findings = done.result()
            skipped += was_skipped
            if findings:
                failed += 1
                print(findings, flush=True)
    print(f"tidy: {len(sources)} sources, {skipped} unchanged since they passed, {failed} with findings")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
