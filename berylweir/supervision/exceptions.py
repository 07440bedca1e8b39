"""Exceptions raised by supervisors."""


class SupervisionError(Exception):
    """Base class of the exceptions of this package."""


class ChildStartTimeout(SupervisionError):  # noqa: N818
    """A child did not report that it is ready within its start timeout.

    Attributes:
        child: Name of the child.
    """

    def __init__(self, child: str, timeout_s: float) -> None:
        """Creates the exception.

        Args:
            child: Name of the child.
            timeout_s: Start timeout of the child, in seconds.
        """
        super().__init__(f"child {child!r} was not ready after {timeout_s} s")
        self.child = child


class IntensityExceeded(SupervisionError):  # noqa: N818
    """Children needed more restarts than the supervisor tolerates.

    It ends the supervisor, and so counts as a crash for its parent.

    Attributes:
        supervisor: Name of the supervisor.
        child: Name of the child whose restart exceeded the limit.
    """

    def __init__(self, supervisor: str, child: str, restarts: int) -> None:
        """Creates the exception.

        Args:
            supervisor: Name of the supervisor.
            child: Name of the child whose restart exceeded the limit.
            restarts: Number of restarts within the window.
        """
        super().__init__(
            f"supervisor {supervisor!r} gave up: child {child!r} ended "
            f"after {restarts} restarts within the restart window"
        )
        self.supervisor = supervisor
        self.child = child
