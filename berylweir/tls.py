"""TLS for listeners, with certificates that are reloaded when they change."""

import asyncio
import contextlib
import logging
import pathlib
import ssl

from berylweir.observability import counters
from berylweir.supervision import models as supervision

_LOGGER = logging.getLogger(__name__)
_FILE_POLL_INTERVAL_S = 1.0


def load_context(certificate: str, private_key: str) -> ssl.SSLContext:
    """Returns a TLS context for a listener; the minimum version is TLS 1.2.

    Args:
        certificate: PEM file with the certificate chain.
        private_key: PEM file with the private key of the certificate.

    Raises:
        OSError: If a file can't be read.
        ssl.SSLError: If the files aren't a certificate and its key.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(certificate, private_key)
    return context


class TlsTask:
    """Owns the TLS context of a listener and reloads changed files.

    New handshakes use the new certificate. Open connections are not affected.
    """

    def __init__(
        self, certificate: str, private_key: str, metrics: counters.Counters
    ) -> None:
        """Creates the task.

        Args:
            certificate: PEM file with the certificate chain; empty for no TLS.
            private_key: PEM file with the private key of the certificate.
            metrics: Counters.
        """
        self._certificate = certificate
        self._private_key = private_key
        self._metrics = metrics
        self._context: ssl.SSLContext | None = None
        self._loaded_files: tuple[bytes, bytes] | None = None

    @property
    def context(self) -> ssl.SSLContext | None:
        """The TLS context; None without TLS or before the task is ready."""
        return self._context

    async def run(self, context: supervision.ChildContext) -> None:
        """Loads the files, then reloads them on changes until asked to stop.

        Raises:
            OSError: If a file can't be read at the start.
            ssl.SSLError: If the files aren't a certificate and its key at the
                start.
        """
        if self._certificate and self._context is None:
            self._context = load_context(self._certificate, self._private_key)
            self._loaded_files = self._read_files()
        context.report_ready()
        while not context.stop_event.is_set():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_FILE_POLL_INTERVAL_S):
                    await context.stop_event.wait()
            if self._context is not None:
                self._reload_if_changed(self._context)

    def _read_files(self) -> tuple[bytes, bytes]:
        return (
            pathlib.Path(self._certificate).read_bytes(),
            pathlib.Path(self._private_key).read_bytes(),
        )

    def _reload_if_changed(self, context: ssl.SSLContext) -> None:
        try:
            current_files = self._read_files()
            if current_files == self._loaded_files:
                return
            # The files may be replaced one after the other, so the key may not
            # match the certificate for a while. Loading such a pair into the
            # context in use would leave it without a usable key, so the pair
            # is tested with another context first.
            load_context(self._certificate, self._private_key)
            context.load_cert_chain(self._certificate, self._private_key)
        except (OSError, ssl.SSLError) as error:
            self._metrics.count("tls.reload_failed")
            _LOGGER.warning(
                "certificate not reloaded", extra={"error": str(error)}
            )
            return
        self._loaded_files = current_files
        self._metrics.count("tls.reloaded")
        _LOGGER.info("certificate reloaded")
