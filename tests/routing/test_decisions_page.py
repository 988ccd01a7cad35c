"""docs/decisions.md has a row for each rule of the routing, and names only functions that exist."""

import ast
import re
import tomllib
import unittest
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parents[2]
PAGE = ROOT / "docs" / "decisions.md"
COLUMNS = 6
OTHER_FUNCTIONS = "## Called by the rules above"


def decision_files() -> list[Path]:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    return [ROOT / path for path in deploy["policy"]]


def public_functions(path: Path) -> Iterator[str]:
    """Functions and methods, as the page names them."""
    for node in ast.parse(path.read_text()).body:
        if isinstance(node, ast.FunctionDef) and not node.name.startswith("_"):
            yield node.name
        elif isinstance(node, ast.ClassDef) and not node.name.startswith("_"):
            methods = [member.name for member in node.body if isinstance(member, ast.FunctionDef)]
            yield from (f"{node.name}.{name}" for name in methods if not name.startswith("_"))


def named_in(cell: str) -> set[tuple[str, str]]:
    """File and function of each function that a cell names; a file holds for the names after it."""
    found = set()
    file = ""
    for name in re.findall(r"`([^`]+)`", cell):
        if name.endswith(".py"):
            file = name
        else:
            found.add((file, name))
    return found


def rows(text: str) -> list[list[str]]:
    cells = [[cell.strip() for cell in line.strip("|").split("|")] for line in text.splitlines()]
    return [row for row in cells if len(row) > 1 and not set(row[0]) <= {"-"} and "`" in "".join(row)]


class DecisionsPageTest(unittest.TestCase):
    def setUp(self) -> None:
        rules, _, others = PAGE.read_text().partition(OTHER_FUNCTIONS)
        self.rules = rows(rules)
        self.others = rows(others)
        self.there = {(path.name, name) for path in decision_files() for name in public_functions(path)}

    def test_each_rule_has_a_question_inputs_an_outcome_a_reason_and_settings(self) -> None:
        self.assertGreater(len(self.rules), 40)
        for row in self.rules:
            with self.subTest(row[0]):
                self.assertEqual(len(row), COLUMNS)
                self.assertTrue(all(row), row)
                self.assertTrue(row[0].endswith("?"))
                self.assertEqual(len(named_in(row[1])), 1)

    def test_each_function_that_the_page_names_exists(self) -> None:
        named = [named_in(row[1]) for row in self.rules] + [named_in(row[0]) for row in self.others]
        for functions in named:
            self.assertLessEqual(functions, self.there)

    def test_each_public_function_of_the_decisions_has_one_row(self) -> None:
        cells = [row[1] for row in self.rules] + [row[0] for row in self.others]
        named = sorted(function for cell in cells for function in named_in(cell))
        self.assertEqual(named, sorted(self.there))
