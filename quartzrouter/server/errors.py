"""The base class of all errors that the server package raises."""


class ServerError(Exception):
    """Data or a request of a peer that can't be handled.

    The text says what is wrong and where. These errors don't end the process: they are handled at the
    connection or the request that they concern.
    """
