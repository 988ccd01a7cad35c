"""The configuration: its schema, its parser, and the interning of names."""
