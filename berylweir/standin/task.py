"""Tasks that serve the stand-ins over HTTP."""

from berylweir import httpd
from berylweir.standin import backend
from berylweir.standin import platform
from berylweir.supervision import models as supervision


class PlatformTask:
    """Serves a platform stand-in."""

    def __init__(
        self, state: platform.PlatformState, host: str, port: int
    ) -> None:
        """Creates the task; with port 0 the system chooses a free port."""
        self._state = state
        self._host = host
        self._port = port

    @property
    def url(self) -> str:
        """Base URL; valid once the task is ready."""
        return f"http://{self._host}:{self._port}"

    async def run(self, context: supervision.ChildContext) -> None:
        """Serves until a stop is requested."""
        server, serve_task = await httpd.start(
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
        await serve_task


class BackendTask:
    """Serves a backend server stand-in."""

    def __init__(
        self, state: backend.BackendState, host: str, port: int
    ) -> None:
        """Creates the task; with port 0 the system chooses a free port."""
        self._state = state
        self._host = host
        self._port = port
        self._server: httpd.EmbeddedServer | None = None

    @property
    def port(self) -> int:
        """TCP port; valid once the task is ready."""
        return self._port

    @property
    def state(self) -> backend.BackendState:
        """Grants, load and faults of the server."""
        return self._state

    def abort_connections(self) -> None:
        """Closes all connections at once, as a crash of the process would."""
        if self._server is not None:
            self._server.abort_connections()

    async def run(self, context: supervision.ChildContext) -> None:
        """Serves until a stop is requested."""
        app = backend.BackendApp(self._state, self.abort_connections)
        self._server, serve_task = await httpd.start(
            context.stack, app, self._host, self._port, shutdown_s=1.0
        )
        self._port = self._server.port
        context.report_ready()
        await context.stop_event.wait()
        self._server.should_exit = True
        await serve_task
