"""The protocols on the wire: state machines and codecs without sockets or clocks."""
