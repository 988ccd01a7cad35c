"""Checks that the files, folders, commands and options that the pages name exist, and line lengths."""

import ast
import re
import shlex
import tomllib
import unittest
from collections.abc import Iterator
from pathlib import Path

import click

from crankfold.cli.main import main

ROOT = Path(__file__).parent.parent
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").glob("*.md"))]
RECORD_PAGES = ("results.md",)  # measurements, under the names in use when they were taken
FOLDERS = ("crankfold/", "docs/", "tests/", "examples/", "deploy/", "benchmarks/", "trials/", ".ci/")
PACKAGES = tuple(path.name for path in (ROOT / "crankfold").iterdir() if (path / "__init__.py").exists())
READER_CREATED_FILES = ("days.csv", "fleet-10.csv")
MAX_LINE_LENGTH = 110


def paths_in(page: Path) -> Iterator[str]:
    """Yields the repository paths that a page names; `crankfold/` may be left out for a package's file."""
    for word in re.findall(r"[\w.*/-]+", page.read_text()):
        word = word.rstrip(".")
        if word.startswith(FOLDERS) and len(word.split("/")) > 1:
            yield word
        elif word.endswith(".py") and word.partition("/")[0] in PACKAGES:
            yield f"crankfold/{word}"
        elif re.fullmatch(r"[\w-]+\.md", word):
            yield f"docs/{word}" if word != "README.md" else word


def commands_in(text: str) -> Iterator[list[str]]:
    """Yields the arguments of each `crankfold` command in code blocks and inline code."""
    spans = [match[1] for match in re.finditer(r"`([^`\n]+)`", text)]
    spans += [line for line in text.replace("\\\n", " ").splitlines() if line.startswith("    ")]
    for span in spans:
        for part in re.split(r"&&|;|\||\bdo\b", span):
            found = re.search(r"(?:-m )?(?<![\w/.-])crankfold (.*)", part)
            if found and re.match(r"[a-z]", found[1]):
                yield shlex.split(re.sub(r"[><].*|&$", "", found[1]), comments=True)


def unknown_part(words: list[str]) -> str:
    """Returns what of a command does not exist, or an empty string."""
    command: click.Command = main
    context = click.Context(main)
    while isinstance(command, click.Group) and words:
        found = command.get_command(context, words[0])
        if found is None:
            break
        command, words = found, words[1:]
    if isinstance(command, click.Group) and words and re.fullmatch(r"[a-z]+", words[0]):
        return f"no command {words[0]!r}"
    options = {option for parameter in command.params for option in parameter.opts}
    unknown = [word for word in words if word.startswith("--") and word.partition("=")[0] not in options]
    return f"no option {unknown[0]}" if unknown else ""


class PagesTest(unittest.TestCase):
    def test_every_named_file_and_folder_exists(self) -> None:
        for page in PAGES:
            if page.name in RECORD_PAGES:
                continue
            for path in paths_in(page):
                if Path(path).name not in READER_CREATED_FILES:
                    with self.subTest(page=page.name, path=path):
                        self.assertTrue([*ROOT.glob(path.rstrip("/"))], "named, but does not exist")

    def test_every_named_command_exists_with_its_options(self) -> None:
        checked = 0
        for page in PAGES:
            for words in commands_in(page.read_text()) if page.name not in RECORD_PAGES else ():
                checked += 1
                with self.subTest(page=page.name, command=" ".join(words)):
                    self.assertEqual(unknown_part(words), "")
        self.assertGreater(checked, 40)

    def test_unknown_commands_and_options_are_found(self) -> None:
        self.assertEqual(unknown_part(["serfs"]), "no command 'serfs'")
        self.assertEqual(unknown_part(["settings", "shows"]), "no command 'shows'")
        self.assertEqual(unknown_part(["emulate", "--dispatcher", "3"]), "no option --dispatcher")
        self.assertEqual(
            [*commands_in("a `crankfold check FILE`\n    x && .venv/bin/python -m crankfold fleet &\n")],
            [["check", "FILE"], ["fleet"]],
        )

    def test_pages_named_in_code_and_readmes_exist(self) -> None:
        files = [
            *(ROOT / "crankfold").rglob("*.py"),
            *(ROOT / "tests").rglob("*.py"),
            *(ROOT / "benchmarks").glob("*.*"),
            *(ROOT / "examples").glob("*"),
            ROOT / "CHANGELOG.md",
        ]
        for file in files:
            if file.suffix in (".py", ".md", ".toml") and file != Path(__file__):
                for page in set(re.findall(r"docs/[\w-]+\.md", file.read_text())):
                    with self.subTest(file=str(file.relative_to(ROOT)), page=page):
                        self.assertTrue((ROOT / page).exists())

    def test_each_crossing_names_existing_test(self) -> None:
        files = [path.read_text() for path in (ROOT / "tests").rglob("test_*.py")]
        tests = [name for text in files for name in re.findall(r"def test_(\w+)", text)]
        page = (ROOT / "docs" / "crossings.md").read_text()
        rows = [line.split("|")[3].strip() for line in page.splitlines() if line.startswith("| ")]
        phrases = [part for cell in rows if cell not in ("test", "---") for part in cell.split("; ")]
        self.assertGreater(len(phrases), 35)
        for phrase in phrases:
            words = re.sub(r"\W+", "_", phrase.lower().replace("'s", "s"))
            with self.subTest(phrase):
                self.assertTrue([name for name in tests if words in name])

    def test_each_state_owner_is_class_of_file_in_its_row(self) -> None:
        page = (ROOT / "docs" / "architecture.md").read_text()
        table = page.partition("## Who owns which state")[2].partition("\n## ")[0]
        rows = [line.split("|")[2] for line in table.splitlines() if line.startswith("| ")][2:]
        self.assertGreater(len(rows), 15)
        for owner in rows:
            files = re.findall(r"`((?:\w+/)+\w+\.py)`", owner)
            code = "".join((ROOT / "crankfold" / file).read_text() for file in files)
            names = re.findall(r"`([A-Z]\w+)`", owner)
            self.assertTrue(names and files, owner)
            for name in names:
                self.assertRegex(code, rf"(?m)^class {name}\b", owner)

    def test_each_audit_clause_has_status_and_names_existing_tests(self) -> None:
        files = [path.read_text() for path in (ROOT / "tests").rglob("test_*.py")]
        tests = {name for text in files for name in re.findall(r"def test_(\w+)", text)}
        page = (ROOT / "docs" / "terms-audit.md").read_text()
        rows = [line.strip("| ").split(" | ") for line in page.splitlines() if line.startswith("| ")]
        clauses = [row for row in rows if row[0] not in ("place", "---")]
        self.assertGreater(len(clauses), 100)
        for row in clauses:
            with self.subTest(row[1]):
                self.assertEqual(len(row), 7)
                self.assertRegex(row[-1], r"^(holds|fixed|open|not reached)\b")
                named = re.findall(r"`(\w+)`", row[5])
                self.assertTrue(named or row[-1].startswith(("open", "not reached")))
                self.assertLessEqual(set(named), tests)

    def test_ci_uses_install_and_test_commands_of_readme(self) -> None:
        section = (ROOT / "README.md").read_text().partition("## Test\n")[2]
        install, run = [line.strip() for line in section.splitlines() if line.startswith("    ")][:2]
        script = (ROOT / ".ci" / "run").read_text()
        installs = re.findall(r"pip install (.*)", script)
        self.assertEqual(installs, re.findall(r"pip install (.*)", install))
        self.assertIn(run, script.splitlines())

    def test_lines_outside_tables_keep_maximum_width(self) -> None:
        pages = [*PAGES, ROOT / "CHANGELOG.md", *sorted((ROOT / "docs" / "incidents").glob("*.md"))]
        for page in pages:
            for number, line in enumerate(page.read_text().splitlines(), 1):
                if not line.startswith("|"):
                    self.assertLessEqual(len(line), MAX_LINE_LENGTH, f"{page.name}:{number}")


class OnCallPageTest(unittest.TestCase):
    def setUp(self) -> None:
        self.page = (ROOT / "docs" / "on-call.md").read_text()
        trees = [ast.parse(path.read_text()) for path in (ROOT / "crankfold").rglob("*.py")]
        nodes = [node for tree in trees for node in ast.walk(tree)]
        docstrings = {
            id(n.value) for n in nodes if isinstance(n, ast.Expr) and isinstance(n.value, ast.Constant)
        }
        self.texts = {
            n.value
            for n in nodes
            if isinstance(n, ast.Constant) and isinstance(n.value, str) and id(n) not in docstrings
        }
        self.formats = [
            [str(part.value) if isinstance(part, ast.Constant) else "" for part in n.values]
            for n in nodes
            if isinstance(n, ast.JoinedStr)
        ]
        calls = [n for n in nodes if isinstance(n, ast.Call) and isinstance(n.func, ast.Attribute)]
        counter_calls = [n for n in calls if ast.unparse(n.func).endswith((".increment", ".record_maximum"))]
        self.counters = {
            part.value
            for call in counter_calls
            for part in ast.walk(call.args[0])
            if isinstance(part, ast.Constant) and isinstance(part.value, str) and part.value[0] not in "-_"
        }

    def has_counter(self, counter: str) -> bool:
        """Returns whether a string of the program equals the name or is a prefix of it that ends in "-"."""
        name = counter.rstrip(".N")
        prefixes = [text for text in self.texts if text.endswith("-") and len(text) > 3]
        return name in self.texts or any(name.startswith(text) for text in prefixes)

    def test_every_named_counter_exists_in_program(self) -> None:
        counters = self.page.partition("## Counters")[2].partition("\n## ")[0]
        named = [
            word
            for line in counters.splitlines()
            if line.startswith("| `")
            for word in re.findall(r"`([a-z0-9-]+)`", line.split("|")[1])
        ]
        table = self.page.partition("| counter before")[2].partition("\n\n")[0]
        named += [
            word for line in table.splitlines()[2:] for word in re.findall(r"`([\w-]+)`", line.split("|")[2])
        ]
        self.assertGreater(len(named), 100)
        for word in named:
            with self.subTest(word):
                self.assertTrue(self.has_counter(word))

    def test_page_names_every_counter_of_program(self) -> None:
        self.assertGreater(len(self.counters), 40)
        for counter in self.counters:
            with self.subTest(counter):
                self.assertRegex(self.page, rf"`{re.escape(counter)}[\w.-]*`")

    def test_every_quoted_log_line_exists_in_program(self) -> None:
        formats = [*self.formats, *(re.split(r"%[sr]", text) for text in self.texts)]
        formats = [parts for parts in formats if sum(len(part) for part in parts) >= 4]
        patterns = [re.compile(".*".join(re.escape(part) for part in parts), re.DOTALL) for parts in formats]
        samples = ["_".join(parts) for parts in formats]
        samples += [sample.partition(": ")[2] for sample in samples]

        def is_logged(line: str) -> bool:
            """Returns whether a line matches a format of the program; either may contain placeholders."""
            category, _, rest = line.partition(": ")
            if rest == "..." and category in self.texts:
                return True
            rest = rest if rest != "..." else ""
            matches_format = any(pattern.fullmatch(text) for text in (line, rest) for pattern in patterns)
            quoted = [
                re.sub(r"\\\.\\\.\\\.|\b[A-Z]{2,}\b|\bN\b", ".*", re.escape(text)) for text in (line, rest)
            ]
            matches_sample = any(re.fullmatch(text, sample) for text in quoted if text for sample in samples)
            parts = rest.split("; ")
            return (
                matches_format
                or matches_sample
                or (len(parts) > 1 and all(is_logged(part) for part in parts))
            )

        lines = self.page.partition("## Log lines")[2].partition("\n## ")[0]
        quoted = [
            text
            for line in lines.splitlines()
            if line.startswith("| `")
            for text in re.findall(r"`([^`]+)`", line.split("|")[1])
        ]
        self.assertGreater(len(quoted), 30)
        for text in quoted:
            with self.subTest(text):
                self.assertTrue(is_logged(text))
        for text in ("discovery: the new list stands", "serving under ...", "rumour: ..."):
            self.assertFalse(is_logged(text), text)


class LayersTest(unittest.TestCase):
    def test_each_package_imports_only_from_packages_above_it_in_readme(self) -> None:
        table = re.findall(r"^\| `crankfold/(\w+)/` \|", (ROOT / "README.md").read_text(), re.MULTILINE)
        self.assertEqual(sorted(table), sorted(PACKAGES))
        for path in (ROOT / "crankfold").rglob("*.py"):
            package = path.relative_to(ROOT / "crankfold").parts[0]
            for node in ast.walk(ast.parse(path.read_text())) if package in table else ():
                if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("crankfold."):
                    imported = str(node.module).split(".")[1]
                    if imported in table:
                        self.assertLessEqual(
                            table.index(imported), table.index(package), f"{path}: {node.module}"
                        )

    def test_files_named_in_deploy_file_exist(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        for path in [*deploy["policy"], *deploy["node"]]:
            self.assertTrue((ROOT / path).exists(), path)


class LintExceptionsTest(unittest.TestCase):
    def test_each_lint_exception_names_rule_and_reason(self) -> None:
        files = [
            path for folder in ("crankfold", "tests", "benchmarks") for path in (ROOT / folder).rglob("*.py")
        ]
        files += [*(ROOT / "examples").glob("*.py")]
        checked = 0
        for path in files:
            for number, line in enumerate(path.read_text().splitlines(), 1):
                if re.search(r"#\s*(noqa|ruff|flake8)", line) and path != Path(__file__):
                    checked += 1
                    self.assertRegex(line, r"# noqa: [A-Z]+\d+ - \w+", f"{path}:{number}")
        self.assertGreater(checked, 10)
