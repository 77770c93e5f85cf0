"""Tests of tidy.py with a project of one source in a temporary folder."""

import json
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import unittest

TIDY = pathlib.Path(__file__).resolve().parent / "tidy.py"


class TidyTest(unittest.TestCase):
    def setUp(self):
        self.root = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.root)
        (self.root / "scripts").mkdir()
        shutil.copy(TIDY, self.root / "scripts")
        self.write(".clang-tidy", "Checks: '-*,modernize-use-nullptr'\nWarningsAsErrors: '*'\n"
                                  "HeaderFilterRegex: '.*'\n")
        self.write("value.h", "inline int* Value() { return nullptr; }\n")
        self.write("main.cc", '#include "value.h"\nint main() { return Value() != nullptr; }\n')
        self.compile_with("")

    def write(self, name, text):
        (self.root / name).write_text(text)

    def compile_with(self, option):
        source = self.root / "main.cc"
        command = f"c++ -I{self.root} {option} -o main.o -c {source}"
        self.write("compile_commands.json", json.dumps(
            [{"directory": str(self.root), "file": str(source), "command": command}]))

    def run_tidy(self, path=None):
        environment = dict(os.environ, GREENGAGE_TIDY_CACHE=str(self.root / "cache"))
        if path:
            environment["PATH"] = f"{path}:{environment['PATH']}"
        result = subprocess.run([sys.executable, "scripts/tidy.py", ".", "main.cc"],
                                cwd=self.root, env=environment, capture_output=True, text=True,
                                check=False)
        return result.returncode, "1 unchanged" in result.stdout

    def test_skips_a_source_that_passed_and_is_unchanged(self):
        self.assertEqual(self.run_tidy(), (0, False))
        self.assertEqual(self.run_tidy(), (0, True))

    def test_checks_again_after_a_header_changed(self):
        self.run_tidy()
        self.write("value.h", "inline int* Value() { return 0; }\n")
        self.assertEqual(self.run_tidy(), (1, False))

    def test_checks_again_after_only_a_comment_changed(self):
        self.write("value.h", "inline int* Value() { return 0; }  // NOLINT\n")
        self.assertEqual(self.run_tidy(), (0, False))
        self.write("value.h", "inline int* Value() { return 0; }\n")
        self.assertEqual(self.run_tidy(), (1, False))

    def test_checks_again_after_an_option_changed(self):
        self.write("value.h", "#ifdef OLD\ninline int* Value() { return 0; }\n#else\n"
                              "inline int* Value() { return nullptr; }\n#endif\n")
        self.run_tidy()
        self.compile_with("-DOLD")
        self.assertEqual(self.run_tidy(), (1, False))

    def test_checks_again_after_the_configuration_changed(self):
        self.run_tidy()
        self.write(".clang-tidy", "Checks: '-*,modernize-use-trailing-return-type'\n"
                                  "WarningsAsErrors: '*'\nHeaderFilterRegex: '.*'\n")
        self.assertEqual(self.run_tidy(), (1, False))

    def test_checks_again_with_another_version_of_the_tool(self):
        self.run_tidy()
        tools = self.root / "tools"
        tools.mkdir()
        real = shutil.which("clang-tidy")
        (tools / "clang-tidy").write_text(
            f'#!/bin/sh\n[ "$1" = --version ] && exec echo other\nexec {real} "$@"\n')
        (tools / "clang-tidy").chmod(0o755)
        self.assertEqual(self.run_tidy(tools), (0, False))

    def test_does_not_remember_findings(self):
        self.write("value.h", "inline int* Value() { return 0; }\n")
        self.assertEqual(self.run_tidy(), (1, False))
        self.assertEqual(self.run_tidy(), (1, False))

    def test_reports_a_source_that_does_not_compile(self):
        self.write("main.cc", "int main() { return missing; }\n")
        self.assertEqual(self.run_tidy(), (1, False))
        self.write("main.cc", '#include "absent.h"\n')
        self.assertEqual(self.run_tidy(), (1, False))


if __name__ == "__main__":
    unittest.main()
