"""Tasks that run the stand-ins."""

from berylweir import httpd
from berylweir.standin import backend
from berylweir.standin import platform
from berylweir.supervision import models as supervision


class PlatformTask:
    """Serves a platform stand-in."""

    def __init__(
        self, state: platform.PlatformState, host: str, port: int
    ) -> None:
        """Creates the task; port 0 takes a free one."""
        self._state = state
        self._host = host
        self._port = port

    @property
    def url(self) -> str:
        """Base URL, once the task is ready."""
        return f"http://{self._host}:{self._port}"

    async def run(self, context: supervision.ChildContext) -> None:
        """Runs until asked to stop."""
        server, serving = await httpd.start(
            context.stack,
            platform.create_app(self._state),
            self._host,
            self._port,
            shutdown_s=1.0,
        )
        self._port = server.port
        context.report_ready()
        await context.stop_event.wait()
        self._state.faults.down = True
        self._state.wake_watches()
        server.should_exit = True
        await serving


class BackendTask:
    """Serves a backend server stand-in."""

    def __init__(
        self, state: backend.BackendState, host: str, port: int
    ) -> None:
        """Creates the task; port 0 takes a free one."""
        self._state = state
        self._host = host
        self._port = port
        self._server: httpd.EmbeddedServer | None = None

    @property
    def port(self) -> int:
        """TCP port, once the task is ready."""
        return self._port

    @property
    def state(self) -> backend.BackendState:
        """State of the server."""
        return self._state

    def abort_connections(self) -> None:
        """Cuts all connections, as the end of the process would."""
        if self._server is not None:
            self._server.abort_connections()

    async def run(self, context: supervision.ChildContext) -> None:
        """Runs until asked to stop."""
        app = backend.BackendApp(self._state, self.abort_connections)
        self._server, serving = await httpd.start(
            context.stack, app, self._host, self._port, shutdown_s=1.0
        )
        self._port = self._server.port
        context.report_ready()
        await context.stop_event.wait()
        self._server.should_exit = True
        await serving
