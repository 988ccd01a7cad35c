"""The decisions and the types by which they are called."""
