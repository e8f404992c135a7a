"""Structured logs: one JSON line for each change of state."""

from __future__ import annotations

import logging
import sys
from typing import Any

import structlog


def configure_logs() -> None:
    """Write JSON lines to standard output."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stdout),
    )


def logger(**fields: Any) -> Any:
    """Return a logger with fields bound to it."""
    return structlog.get_logger(**fields)
