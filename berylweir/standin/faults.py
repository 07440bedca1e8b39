"""Faults that tests and benchmarks inject into the stand-ins."""

import msgspec


class PlatformFaults(msgspec.Struct):
    """Faults of the platform stand-in.

    Attributes:
        down: Whether each call is refused with status 503.
        delay_s: Delay before each response, in seconds.
        lose_answers: Number of the next accepted writes that get status 504
            although they are applied.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0


class BackendFaults(msgspec.Struct):
    """Faults of a backend server stand-in.

    Attributes:
        frozen: Whether requests wait, without a response, until this fault
            is removed.
        slow_factor: Factor on the service time.
        shed: Whether each request is refused with status 503 as overloaded.
        crash_path: Text in the path of a request that crashes the server;
            empty for none.
        cut_after_bytes: Size of the response body, in bytes, after which the
            connection is closed; 0 for no limit.
    """

    frozen: bool = False
    slow_factor: float = 1.0
    shed: bool = False
    crash_path: str = ""
    cut_after_bytes: int = 0
