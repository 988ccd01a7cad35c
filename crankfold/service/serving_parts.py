"""The parts of a process that serve clients, as a handover controls them."""

from typing import NamedTuple

from crankfold.network.listener import Listener
from crankfold.service.requests.handler import RequestHandler
from crankfold.service.socket_budget import SocketBudget


class ServingParts(NamedTuple):
    """The request handler with the listener that feeds it and the limits of its sockets."""

    request_handler: RequestHandler
    listener: Listener
    socket_budget: SocketBudget
