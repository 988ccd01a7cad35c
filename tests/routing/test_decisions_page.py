"""docs/decisions.md has a row for each rule of the routing, and names only functions that exist."""

import ast
import re
import tomllib
import unittest
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parents[2]
DECISIONS_PAGE = ROOT / "docs" / "decisions.md"
COLUMN_COUNT = 6
OTHER_FUNCTIONS_HEADING = "## Called by the rules above"


def routing_rule_files() -> list[Path]:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    return [ROOT / path for path in deploy["policy"]]


def public_functions(path: Path) -> Iterator[str]:
    """Yields the public functions and methods, as the page names them."""
    for node in ast.parse(path.read_text()).body:
        if isinstance(node, ast.FunctionDef) and not node.name.startswith("_"):
            yield node.name
        elif isinstance(node, ast.ClassDef) and not node.name.startswith("_"):
            methods = [member.name for member in node.body if isinstance(member, ast.FunctionDef)]
            yield from (f"{node.name}.{name}" for name in methods if not name.startswith("_"))


def functions_named_in(cell: str) -> set[tuple[str, str]]:
    """Returns the file and the name of each function in a cell; a file name applies to the names after it."""
    found = set()
    file_name = ""
    for name in re.findall(r"`([^`]+)`", cell):
        if name.endswith(".py"):
            file_name = name
        else:
            found.add((file_name, name))
    return found


def table_rows(page_text: str) -> list[list[str]]:
    cells = [[cell.strip() for cell in line.strip("|").split("|")] for line in page_text.splitlines()]
    return [row for row in cells if len(row) > 1 and not set(row[0]) <= {"-"} and "`" in "".join(row)]


class DecisionsPageTest(unittest.TestCase):
    def setUp(self) -> None:
        rules_text, _, others_text = DECISIONS_PAGE.read_text().partition(OTHER_FUNCTIONS_HEADING)
        self.rule_rows = table_rows(rules_text)
        self.other_rows = table_rows(others_text)
        self.existing_functions = {
            (path.name, name) for path in routing_rule_files() for name in public_functions(path)
        }

    def test_each_rule_has_question_inputs_outcome_reason_and_settings(self) -> None:
        self.assertGreater(len(self.rule_rows), 40)
        for row in self.rule_rows:
            with self.subTest(row[0]):
                self.assertEqual(len(row), COLUMN_COUNT)
                self.assertTrue(all(row), row)
                self.assertTrue(row[0].endswith("?"))
                self.assertEqual(len(functions_named_in(row[1])), 1)

    def test_each_function_named_on_page_exists(self) -> None:
        named_functions = [functions_named_in(row[1]) for row in self.rule_rows] + [
            functions_named_in(row[0]) for row in self.other_rows
        ]
        for functions in named_functions:
            self.assertLessEqual(functions, self.existing_functions)

    def test_each_public_function_of_routing_rules_has_one_row(self) -> None:
        cells = [row[1] for row in self.rule_rows] + [row[0] for row in self.other_rows]
        named_functions = sorted(function for cell in cells for function in functions_named_in(cell))
        self.assertEqual(named_functions, sorted(self.existing_functions))
