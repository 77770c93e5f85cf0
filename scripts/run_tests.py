"""Runs CTest for one preset, applies KNOWN-RED.txt and prints the counts.

Usage: run_tests.py PRESET. Exits 0 only if no test failed other than those
that KNOWN-RED.txt lists.
"""

import pathlib
import re
import subprocess
import sys
import xml.etree.ElementTree

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"

# CTest keeps only 1,024 bytes of a passed test by default, so a test that
# prints more would lose the summary at its end.
OUTPUT_OPTIONS = ["--test-output-size-passed", "4000000",
                  "--test-output-size-failed", "4000000"]

# Characters of the output that are printed for a test without a summary.
SHOWN_OUTPUT = 4000


def known_red_tests():
    """Returns the tests that may fail, from lines "test: SUITE/NAME"."""
    if not KNOWN_RED.exists():
        return set()
    return set(re.findall(r"^test: (\S+)", KNOWN_RED.read_text(), re.MULTILINE))


def run_ctest(preset):
    """Runs all test programs and returns the path of the JUnit XML report."""
    reports = ROOT / "build" / "reports" / preset
    reports.mkdir(parents=True, exist_ok=True)
    for old in reports.glob("*.xml"):
        old.unlink()
    # Criterion measures wall-clock time, so the processes of one test run serially.
    subprocess.run(
        ["ctest", "--preset", preset, "--parallel", "8", *OUTPUT_OPTIONS,
         "--output-junit", reports / "ctest.xml"],
        cwd=ROOT, check=False)
    return reports / "ctest.xml"


def failed_cases(output):
    """Returns the cases that Criterion reports as failed, as SUITE/NAME."""
    cases = re.findall(r"\[(?:FAIL|ERR)[^\]]*\]\s+(\w+::\w+)", re.sub(r"\x1b\[[0-9;]*m", "", output))
    return {case.replace("::", "/") for case in cases}


def count_cases(output):
    """Returns the numbers of passed and failed cases from the summary of Criterion.

    A case that ends by a signal after a failed assertion is in the summary twice,
    as failing and as crashing."""
    plain = re.sub(r"\x1b\[[0-9;]*m", "", output)
    summary = re.search(
        r"Synthesis: Tested: (\d+) \| Passing: (\d+) \| Failing: (\d+) \| Crashing: (\d+)", plain)
    if not summary:
        return None
    tested, passing, _, _ = map(int, summary.groups())
    return passing, tested - passing


def main():
    preset = sys.argv[1]
    known_red = known_red_tests()
    passed, failed, excused = 0, 0, set()
    for case in xml.etree.ElementTree.parse(run_ctest(preset)).getroot().iter("testcase"):
        name = case.get("name")
        output = case.findtext("system-out") or ""
        counts = count_cases(output)
        if counts is None:
            print(f"{name}: ended without a summary; the end of its output:")
            print(output[-SHOWN_OUTPUT:])
            failed += 1
            continue
        names = failed_cases(output)
        allowed = names & known_red
        passed += counts[0]
        failed += counts[1] - len(allowed)
        excused |= allowed
        for failure in sorted(names - known_red):
            print(f"failed: {failure} in {name}")
        if case.get("status") != "run" and counts[1] == 0:
            print(f"{name}: failed outside its cases")
            failed += 1
    for name in sorted(excused):
        print(f"known red: {name} (see KNOWN-RED.txt)")
    for name in sorted(known_red - excused):
        print(f"note: {name} is listed in KNOWN-RED.txt and did not fail in this preset")
    print(f"{passed} passed, {failed} failed, {len(excused)} skipped")
    return 0 if failed == 0 and passed > 0 else 1


if __name__ == "__main__":
    sys.exit(main())
