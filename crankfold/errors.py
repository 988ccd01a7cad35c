"""The exceptions that crankfold raises for its callers to handle."""


class CrankfoldError(Exception):
    """The base class of the exceptions of this package: an input to the program cannot be used.

    The message is one line for a log or a terminal. Subclasses say what is at fault; one that is raised in a
    single module is defined in that module.
    """


class ConfigError(CrankfoldError):
    """The configuration file, or an address in it or on the command line, cannot be used."""


def drop_traceback(error: BaseException | None) -> None:
    """Drops the traceback of an error that has been handled.

    An error that is referenced from one of its own frames keeps all of them in memory until a full garbage
    collection, with the buffers of their connection. That holds for each `h11.RemoteProtocolError`, and for
    an error that an `asyncio.StreamReader` has stored.
    """
    if error is not None:
        error.__traceback__ = None
