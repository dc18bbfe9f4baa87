"""The base of all errors that the server package raises itself."""


class ServerError(Exception):
    """What a peer sent, or what it asks for, can't be served.

    Each subclass says in its text what is wrong and where. None of them ends the process: they stop at
    the connection or at the request that they are about.
    """
