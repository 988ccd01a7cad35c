"""Hosts the router instances of one process: dispatches the records of a frame and collects the actions."""

from struct import pack

from crankfold.simulator_adapter.codec import LENGTH_BYTES, ActionCode, EventCode, FrameReader, ListEntry
from crankfold.simulator_adapter.instance import RouterInstance


class SimulatorHost:
    """Owns the instances and the endpoint lists, both by the index that records use."""

    def __init__(self) -> None:
        self.instances: dict[int, RouterInstance] = {}
        self.endpoint_lists: dict[int, list[ListEntry]] = {}

    def handle_frame(self, frame: bytes) -> bytes:
        """Processes a frame.

        Args:
            frame: The frame without its length field.

        Returns:
            The reply, including its length field.

        Raises:
            struct.error, IndexError, KeyError, ValueError: The frame cannot be decoded.
        """
        reader = FrameReader(frame)
        index = -1
        active: dict[int, RouterInstance] = {}
        while not reader.at_end():
            code = reader.code()
            if code == EventCode.TO_INSTANCE:
                index = reader.instance()
            elif code == EventCode.ENDPOINT_LIST:
                list_index, entries = reader.endpoint_list()
                self.endpoint_lists[list_index] = entries
            elif code == EventCode.STOP:
                self.instances.pop(index, None)
                active.pop(index, None)
            else:
                active[index] = self._start_or_notify(index, code, reader)
        return self._reply(active)

    def _start_or_notify(self, index: int, code: int, reader: FrameReader) -> RouterInstance:
        """Starts the instance or passes it an event, depending on the code; returns the instance."""
        if code == EventCode.START:
            seed, settings = reader.start()
            self.instances[index] = RouterInstance(seed, settings, self.endpoint_lists)
        else:
            self.instances[index].handle_event(code, reader)
        return self.instances[index]

    def _reply(self, active: dict[int, RouterInstance]) -> bytes:
        parts = []
        for index, instance in active.items():
            if instance.output:
                parts.append(pack("<HH", ActionCode.FROM_INSTANCE, index) + instance.output)
                instance.output = bytearray()
        body = b"".join(parts)
        return pack("<I", LENGTH_BYTES + len(body)) + body
