"""What the pages point to is there: files, folders, commands with their options; and no line is too long."""

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
RECORDS = ("results.md",)  # what was measured, by the names of its day
FOLDERS = ("crankfold/", "docs/", "tests/", "examples/", "deploy/", "benchmarks/", "trials/", ".ci/")
PACKAGES = tuple(path.name for path in (ROOT / "crankfold").iterdir() if (path / "__init__.py").exists())
MADE_BY_READERS = ("days.csv", "fleet-10.csv")
WIDTH = 110


def paths_in(page: Path) -> Iterator[str]:
    """All that looks like a path of the repository; a package's file may be named without `crankfold/`."""
    for word in re.findall(r"[\w.*/-]+", page.read_text()):
        word = word.rstrip(".")
        if word.startswith(FOLDERS) and len(word.split("/")) > 1:
            yield word
        elif word.endswith(".py") and word.partition("/")[0] in PACKAGES:
            yield f"crankfold/{word}"
        elif re.fullmatch(r"[\w-]+\.md", word):
            yield f"docs/{word}" if word != "README.md" else word


def commands_in(text: str) -> Iterator[list[str]]:
    """The words behind `crankfold`, from code blocks and from code within lines."""
    spans = [match[1] for match in re.finditer(r"`([^`\n]+)`", text)]
    spans += [line for line in text.replace("\\\n", " ").splitlines() if line.startswith("    ")]
    for span in spans:
        for part in re.split(r"&&|;|\||\bdo\b", span):
            found = re.search(r"(?:-m )?(?<![\w/.-])crankfold (.*)", part)
            if found and re.match(r"[a-z]", found[1]):
                yield shlex.split(re.sub(r"[><].*|&$", "", found[1]), comments=True)


def fault_of(words: list[str]) -> str:
    """What of a command is not there, or nothing."""
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


class Pages(unittest.TestCase):
    def test_every_file_and_folder_named_is_there(self) -> None:
        for page in PAGES:
            if page.name in RECORDS:
                continue
            for path in paths_in(page):
                if Path(path).name not in MADE_BY_READERS:
                    with self.subTest(page=page.name, path=path):
                        self.assertTrue([*ROOT.glob(path.rstrip("/"))], "named, but not there")

    def test_every_command_named_is_there_with_its_options(self) -> None:
        seen = 0
        for page in PAGES:
            for words in commands_in(page.read_text()) if page.name not in RECORDS else ():
                seen += 1
                with self.subTest(page=page.name, command=" ".join(words)):
                    self.assertEqual(fault_of(words), "")
        self.assertGreater(seen, 40)

    def test_a_command_that_is_not_there_is_found(self) -> None:
        self.assertEqual(fault_of(["serfs"]), "no command 'serfs'")
        self.assertEqual(fault_of(["settings", "shows"]), "no command 'shows'")
        self.assertEqual(fault_of(["emulate", "--dispatcher", "3"]), "no option --dispatcher")
        self.assertEqual(
            [*commands_in("a `crankfold check FILE`\n    x && .venv/bin/python -m crankfold fleet &\n")],
            [["check", "FILE"], ["fleet"]],
        )

    def test_pages_that_the_code_and_other_readmes_name_are_there(self) -> None:
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

    def test_lines_outside_tables_are_short(self) -> None:
        for page in PAGES:
            for number, line in enumerate(page.read_text().splitlines(), 1):
                if page.name not in RECORDS and not line.startswith("|"):
                    self.assertLessEqual(len(line), WIDTH, f"{page.name}:{number}")


class Layers(unittest.TestCase):
    def test_each_package_imports_only_from_those_above_it_in_the_readme(self) -> None:
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

    def test_files_that_the_deploy_file_names_are_there(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        for path in [*deploy["policy"], *deploy["node"]]:
            self.assertTrue((ROOT / path).exists(), path)
