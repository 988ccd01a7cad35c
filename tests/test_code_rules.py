"""Rules of the code that the linter has no check for."""

import ast
import importlib
import unittest
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parent.parent
FUNCTIONS = (ast.FunctionDef, ast.AsyncFunctionDef)


def module_name(path: Path) -> str:
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def imports_of(tree: ast.Module, modules: set[str]) -> set[str]:
    """Modules of the program that are imported anywhere in the tree, for type checking alone too."""
    found = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            submodules = {f"{node.module}.{alias.name}" for alias in node.names} & modules
            found |= submodules or {node.module}
    return found & modules


def find_cycle(graph: dict[str, set[str]]) -> list[str]:
    """A cycle of the graph, its first member repeated at the end; empty where there is none."""
    finished: set[str] = set()

    def visit(module: str, path: list[str]) -> list[str]:
        if module in path:
            return [*path[path.index(module) :], module]
        if module in finished:
            return []
        for imported in sorted(graph[module]):
            if cycle := visit(imported, [*path, module]):
                return cycle
        finished.add(module)
        return []

    for module in sorted(graph):
        if cycle := visit(module, []):
            return cycle
    return []


def public_functions(tree: ast.Module) -> Iterator[ast.FunctionDef | ast.AsyncFunctionDef]:
    for node in tree.body:
        body = node.body if isinstance(node, ast.ClassDef) and not node.name.startswith("_") else [node]
        for member in body:
            if isinstance(member, FUNCTIONS) and not member.name.startswith("_"):
                yield member


def raises_without_saying_so(tree: ast.Module) -> list[str]:
    """Public functions with a `raise` of their own whose docstring has no `Raises:` section."""
    found = []
    for function in public_functions(tree):
        raised = [node for node in ast.walk(function) if isinstance(node, ast.Raise) and node.exc is not None]
        if raised and "Raises:" not in (ast.get_docstring(function) or ""):
            found.append(function.name)
    return found


class CodeRules(unittest.TestCase):
    def setUp(self) -> None:
        paths = sorted((ROOT / "crankfold").rglob("*.py"))
        self.trees = {module_name(path): ast.parse(path.read_text()) for path in paths}

    def test_no_module_imports_itself_by_way_of_others(self) -> None:
        modules = set(self.trees)
        graph = {name: imports_of(tree, modules) for name, tree in self.trees.items()}
        self.assertGreater(sum(len(imported) for imported in graph.values()), 500)
        self.assertEqual(find_cycle(graph), [])

    def test_a_cycle_is_found(self) -> None:
        self.assertEqual(find_cycle({"a": {"b"}, "b": {"c"}, "c": {"b"}}), ["b", "c", "b"])
        self.assertEqual(find_cycle({"a": {"b", "c"}, "b": {"c"}, "c": set()}), [])

    def test_public_functions_that_raise_say_so(self) -> None:
        for name, tree in self.trees.items():
            with self.subTest(name):
                self.assertEqual(raises_without_saying_so(tree), [])

    def test_a_function_that_raises_and_does_not_say_so_is_found(self) -> None:
        silent = (
            'class Parser:\n    def parse(self):\n        """Parses."""\n        raise ValueError("no")\n'
        )
        documented = silent.replace(
            "Parses.", "Parses.\n\n        Raises:\n            ValueError: Always.\n"
        )
        self.assertEqual(raises_without_saying_so(ast.parse(silent)), ["parse"])
        self.assertEqual(raises_without_saying_so(ast.parse(documented)), [])


class Benchmarks(unittest.TestCase):
    # Guards against a benchmark that no longer starts, as a name that it imports has moved.
    def test_each_name_that_a_benchmark_imports_of_the_program_is_there(self) -> None:
        for path in sorted((ROOT / "benchmarks").glob("*.py")):
            for node in ast.walk(ast.parse(path.read_text())):
                if not isinstance(node, ast.ImportFrom) or not str(node.module).startswith("crankfold"):
                    continue
                module = importlib.import_module(str(node.module))
                for alias in node.names:
                    with self.subTest(path.name, name=alias.name):
                        self.assertTrue(hasattr(module, alias.name), f"{node.module} has no {alias.name}")
