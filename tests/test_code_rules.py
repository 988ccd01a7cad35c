"""Rules for the code that the linter cannot check."""

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
    """Returns the modules of the program imported anywhere in the tree, including for type checking only."""
    found = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            submodules = {f"{node.module}.{alias.name}" for alias in node.names} & modules
            found |= submodules or {node.module}
    return found & modules


def find_cycle(graph: dict[str, set[str]]) -> list[str]:
    """Returns a cycle of the graph with its first module repeated at the end; empty if there is none."""
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


def functions_with_undocumented_raise(tree: ast.Module) -> list[str]:
    """Returns public functions that contain a `raise` but have no `Raises:` section in their docstring."""
    found = []
    for function in public_functions(tree):
        raise_statements = [
            node for node in ast.walk(function) if isinstance(node, ast.Raise) and node.exc is not None
        ]
        if raise_statements and "Raises:" not in (ast.get_docstring(function) or ""):
            found.append(function.name)
    return found


class CodeRulesTest(unittest.TestCase):
    def setUp(self) -> None:
        paths = sorted((ROOT / "crankfold").rglob("*.py"))
        self.trees = {module_name(path): ast.parse(path.read_text()) for path in paths}

    def test_modules_have_no_import_cycle(self) -> None:
        modules = set(self.trees)
        graph = {name: imports_of(tree, modules) for name, tree in self.trees.items()}
        self.assertGreater(sum(len(imported) for imported in graph.values()), 500)
        self.assertEqual(find_cycle(graph), [])

    def test_find_cycle_returns_cycle(self) -> None:
        self.assertEqual(find_cycle({"a": {"b"}, "b": {"c"}, "c": {"b"}}), ["b", "c", "b"])
        self.assertEqual(find_cycle({"a": {"b", "c"}, "b": {"c"}, "c": set()}), [])

    def test_public_functions_document_what_they_raise(self) -> None:
        for name, tree in self.trees.items():
            with self.subTest(name):
                self.assertEqual(functions_with_undocumented_raise(tree), [])

    def test_function_with_undocumented_raise_is_found(self) -> None:
        undocumented = (
            'class Parser:\n    def parse(self):\n        """Parses."""\n        raise ValueError("no")\n'
        )
        documented = undocumented.replace(
            "Parses.", "Parses.\n\n        Raises:\n            ValueError: Always.\n"
        )
        self.assertEqual(functions_with_undocumented_raise(ast.parse(undocumented)), ["parse"])
        self.assertEqual(functions_with_undocumented_raise(ast.parse(documented)), [])


class BenchmarkImportsTest(unittest.TestCase):
    # Guards against a benchmark that no longer starts because a name that it imports was moved.
    def test_names_imported_by_benchmarks_exist(self) -> None:
        for path in sorted((ROOT / "benchmarks").glob("*.py")):
            for node in ast.walk(ast.parse(path.read_text())):
                if not isinstance(node, ast.ImportFrom) or not str(node.module).startswith("crankfold"):
                    continue
                module = importlib.import_module(str(node.module))
                for alias in node.names:
                    with self.subTest(path.name, name=alias.name):
                        self.assertTrue(hasattr(module, alias.name), f"{node.module} has no {alias.name}")
