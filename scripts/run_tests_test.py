"""Tests of run_tests.py."""

import pathlib
import subprocess
import tempfile
import unittest
import xml.etree.ElementTree

import run_tests

SUMMARY = "[====] Synthesis: Tested: 3 | Passing: 2 | Failing: 1 | Crashing: 0"


class SummaryTest(unittest.TestCase):

    def test_is_found_behind_more_output_than_ctest_keeps_by_default(self):
        with tempfile.TemporaryDirectory() as folder:
            script = pathlib.Path(folder, "noisy")
            script.write_text(f"#!/bin/sh\nseq 20000\necho '{SUMMARY}'\n")
            script.chmod(0o700)
            pathlib.Path(folder, "CTestTestfile.cmake").write_text(f'add_test(noisy "{script}")')
            report = pathlib.Path(folder, "ctest.xml")
            subprocess.run(
                ["ctest", "--test-dir", folder, *run_tests.OUTPUT_OPTIONS,
                 "--output-junit", report], check=True, stdout=subprocess.DEVNULL)
            case = xml.etree.ElementTree.parse(report).getroot().find("testcase")
            self.assertEqual(run_tests.count_cases(case.findtext("system-out")), (2, 1))

    def test_counts_a_case_that_fails_and_then_crashes_once(self):
        summary = "[====] Synthesis: Tested: 9 | Passing: 8 | Failing: 1 | Crashing: 1"
        self.assertEqual(run_tests.count_cases(summary), (8, 1))
        summary = "[====] Synthesis: Tested: 9 | Passing: 7 | Failing: 1 | Crashing: 1"
        self.assertEqual(run_tests.count_cases(summary), (7, 2))


if __name__ == "__main__":
    unittest.main()
