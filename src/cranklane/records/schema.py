"""Schema of the records sent between processes or stored.

:mod:`cranklane.records.generate` generates ``messages.py`` from it. An encoded record is
a ``struct`` of its numbers and of the sizes of its variable fields, followed by the bytes
of the variable fields in order.

Field types: ``u8 u16 u32 u64 f64 bool`` are numbers, ``str`` (up to 64 KiB), ``text`` and
``bytes`` are variable, ``strings`` is a list of strings, ``pairs`` is a list of pairs of
strings, and ``[Name]`` is a list of another record.
"""

from __future__ import annotations

from cranklane.records.definition import Record
from cranklane.records.schema_calls import CALLS_RECORDS
from cranklane.records.schema_distribution import DISTRIBUTION_RECORDS
from cranklane.records.schema_forwarding import FORWARDING_RECORDS
from cranklane.records.schema_ledger import LEDGER_RECORDS
from cranklane.records.schema_replication import REPLICATION_RECORDS
from cranklane.records.schema_stores import STORES_RECORDS

RECORDS: tuple[Record, ...] = (
    *CALLS_RECORDS,
    *DISTRIBUTION_RECORDS,
    *LEDGER_RECORDS,
    *REPLICATION_RECORDS,
    *STORES_RECORDS,
    *FORWARDING_RECORDS,
)
"""All records, in the order of the generated module."""
