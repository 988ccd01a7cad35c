"""The test command passes over listed failures and over nothing else."""

import io
import unittest

from tests.known_red import judge


class Sample(unittest.TestCase):
    """Not run by itself: its methods are no tests by name."""

    def good(self) -> None:
        pass

    def bad(self) -> None:
        self.fail("as it does")

    def worse(self) -> None:
        raise ValueError("no check failed")

    def in_part(self) -> None:
        for n in range(2):
            with self.subTest(n=n):
                self.assertEqual(n, 0)


HERE = f"{__name__}.Sample."


class KnownRed(unittest.TestCase):
    def said(self, names: str, text: str) -> tuple[bool, str]:
        out = io.StringIO()
        suite = unittest.TestSuite(Sample(name) for name in names.split())
        return judge(unittest.TestSuite([suite]), text, out), out.getvalue()

    def test_without_a_list_every_failure_fails(self) -> None:
        self.assertTrue(self.said("good", "")[0])
        for name in ("bad", "worse", "in_part"):
            passes, told = self.said(f"good {name}", "")
            self.assertFalse(passes, name)
            self.assertIn("\n1 passed, 1 failed\n", told)

    def test_listed_failures_are_run_and_printed_and_passed_over(self) -> None:
        for name in ("bad", "worse", "in_part"):
            line = f"{HERE}{name} | it does so | issue 1"
            passes, told = self.said(f"good {name}", line)
            self.assertTrue(passes, told)
            self.assertIn(f"known red, fails: {line}\n", told)
            self.assertIn("\n1 passed, 0 failed\n", told)
            self.assertIn("Ran 2 tests", told)

    def test_a_listed_test_that_passes_is_told_of(self) -> None:
        passes, told = self.said("good", f"{HERE}good | it did so | issue 1")
        self.assertTrue(passes)
        self.assertIn("known red, passed this time: ", told)

    def test_any_other_failure_fails(self) -> None:
        self.assertFalse(self.said("good bad worse", f"{HERE}bad | it does so | issue 1")[0])

    def test_a_list_that_cannot_be_gone_by_fails_before_anything_is_run(self) -> None:
        lines = [f"{HERE}{name} | cause | issue 1" for name in ("good", "bad", "worse", "in_part")]
        for text, why in (
            (f"{HERE}bad: cause, issue 1", "not `test | cause | issue`"),
            (f"{HERE}bad | | issue 1", "not `test | cause | issue`"),
            (f"{HERE}bad | cause | issue 1\n\n", "not `test | cause | issue`"),
            (f"{HERE}gone | cause | issue 1", "names no test"),
            (f"{lines[0]}\n{lines[0]}", "listed twice"),
            ("\n".join(lines), "4 tests, 3 are allowed"),
        ):
            passes, told = self.said("good bad worse in_part", text)
            self.assertFalse(passes, text)
            self.assertIn(why, told)
            self.assertNotIn("Ran ", told)

    def test_no_test_at_all_fails(self) -> None:
        self.assertFalse(self.said("", "")[0])
