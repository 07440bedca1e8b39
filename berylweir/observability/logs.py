"""Structured logs with one JSON object per line."""

import logging
import sys

import msgspec

# Attributes that every record has; all others were passed as `extra`.
_STANDARD_FIELDS = frozenset(
    vars(logging.LogRecord("", 0, "", 0, "", (), None))
) | {
    "message",
    "asctime",
    "taskName",
}


class JsonFormatter(logging.Formatter):
    """Formats a record and its `extra` fields as JSON."""

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
    """Configures the root logger with a single handler.

    Args:
        level: Name of the lowest level to log.
        handler: The handler; None for one that writes to standard error.
    """
    handler = handler or logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    logging.getLogger("httpx").setLevel(logging.WARNING)
    logging.getLogger("uvicorn").setLevel(logging.WARNING)
    logging.getLogger("httpcore").setLevel(logging.WARNING)
