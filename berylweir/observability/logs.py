"""Structured log lines: one JSON object a line."""

import logging
import sys

import msgspec

_STANDARD_FIELDS = frozenset(
    vars(logging.LogRecord("", 0, "", 0, "", (), None))
) | {
    "message",
    "asctime",
    "taskName",
}


class JsonFormatter(logging.Formatter):
    """Formats a record with its extra fields as JSON."""

    def format(self, record: logging.LogRecord) -> str:
        """Returns the record as one line of JSON."""
        fields: dict[str, object] = {
            "time": record.created,
            "level": record.levelname,
            "logger": record.name,
            "message": record.getMessage(),
        }
        for name, value in vars(record).items():
            if name not in _STANDARD_FIELDS:
                fields[name] = value
        if record.exc_info:
            fields["error"] = self.formatException(record.exc_info)
        return msgspec.json.encode(fields, enc_hook=str).decode()


def configure(level: str, handler: logging.Handler | None = None) -> None:
    """Sends all log lines of the process to a handler.

    Args:
        level: Name of the lowest level to write.
        handler: The handler; standard error if there is none.
    """
    handler = handler or logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    logging.getLogger("httpx").setLevel(logging.WARNING)
    logging.getLogger("uvicorn").setLevel(logging.WARNING)
    logging.getLogger("httpcore").setLevel(logging.WARNING)
