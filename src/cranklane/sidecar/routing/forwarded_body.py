"""The rest of a request's body as the sidecar that forwards the request sends it."""

from __future__ import annotations

from cranklane.records.connection import RecordConnection
from cranklane.records.messages import ForwardBody, ForwardContinue


class ForwardedBody:
    """The chunks of one body on a connection of another sidecar."""

    def __init__(self, records: RecordConnection) -> None:
        self._records = records
        self._requested = False
        self._complete = False

    def request(self) -> None:
        """Ask the other sidecar for the body; until then it sends none.

        :raises ConnectionLostError: if the connection fails.
        """
        self._requested = True
        self._records.send(ForwardContinue())

    def read(self) -> bytes:
        """Return the next chunk; empty at the end of the body.

        :raises ConnectionLostError: if the connection ends, fails or times out.
        :raises MalformedRecordError: if a record of another kind arrives.
        """
        if self._complete:
            return b""
        chunk = self._records.expect(ForwardBody)
        self._complete = chunk.last
        return chunk.data

    def skip(self) -> None:
        """Read and discard what is left of the body after an early response.

        The other sidecar either has sent all of it, and may send another request next, or closes
        the connection. Closing it here with unread bytes could discard the response.

        :raises ConnectionLostError: if the connection ends, fails or times out.
        :raises MalformedRecordError: if a record of another kind arrives.
        """
        while self._requested and not self._complete:
            self.read()
