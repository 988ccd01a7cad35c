"""The exceptions that crankfold raises for its callers to handle."""


class CrankfoldError(Exception):
    """The common base: something given to the program, or told to it, cannot be used.

    The text is one line for a log or a terminal. Subclasses name what was at fault; modules define those
    that nobody else raises.
    """


class ConfigError(CrankfoldError):
    """The configuration file, or an address in it or on the command line, cannot be served from."""
