"""The command line: `main` holds the entry point and `serve`; each other module holds a group of commands.

`main` imports the other modules only when one of their commands is called, so that `serve` starts without
them.
"""
