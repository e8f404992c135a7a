"""Commands and states of the replicated stores."""

from __future__ import annotations

from cranklane.records.definition import Record

STORES_RECORDS = (
    Record(
        60,
        "EditCommand",
        "A validated edit of a document. ``base`` is the version of the document that was edited; "
        "``compiled_at`` is the revision of the store at which ``rows`` were compiled.",
        "base:u64 compiled_at:u64 when:f64 document:str operator:str request:str text:text "
        "rows:[ConfigRow]",
    ),
    Record(61, "Document", "A policy document.", "version:u64 name:str text:text"),
    Record(
        62,
        "HistoryEntry",
        "An accepted edit of a document.",
        "version:u64 base:u64 when:f64 document:str operator:str request:str text:text",
    ),
    Record(
        63,
        "RequestAnswer",
        "Result of an operator's request, returned again if the request is repeated.",
        "version:u64 result:u8 operator:str request:str",
    ),
    Record(
        64,
        "StoreState",
        "Complete state of the configuration store. Subscribers with a version below "
        "``whole_below`` need all rows: a restored backup may have replaced their history.",
        "revision:u64 whole_below:u64 documents:[Document] rows:[ConfigRow] history:[HistoryEntry] "
        "requests:[RequestAnswer]",
    ),
    Record(
        65,
        "RouteTableCommand",
        "Puts a validated, complete route table in force. ``version`` is set by the operator, "
        "``base`` is the version that it replaces, ``digest`` identifies repeated requests; "
        "``document`` is compressed.",
        "version:u64 base:u64 digest:bytes document:bytes",
    ),
    Record(
        66,
        "TakenTable",
        "Version and digest of an accepted route table.",
        "version:u64 digest:bytes",
    ),
    Record(
        67,
        "RouteTableState",
        "Complete state of a route table store; ``document`` is compressed.",
        "revision:u64 version:u64 document:bytes taken:[TakenTable]",
    ),
    Record(
        45,
        "Departure",
        "The departure of a worker: ``instance`` identifies the start of the worker beside "
        "``node`` that takes no new requests.",
        "node:str instance:str",
    ),
    Record(
        46,
        "DepartureReport",
        "Departures of a sidecar's worker that control is asked to store.",
        "instances:strings",
    ),
    Record(
        47,
        "Departures",
        "Stored departures of the receiving sidecar's worker. First record of a subscription, "
        "response to a DepartureReport, and sent after each change.",
        "instances:strings",
    ),
    Record(
        48,
        "DepartureCommand",
        "Stores departures: a command of the controllers' log, and the request for it to the "
        "leader.",
        "departures:[Departure]",
    ),
    Record(49, "DepartureReply", "Response to a DepartureCommand.", "stored:bool"),
    Record(
        68,
        "ControllerState",
        "Complete state of a controller; ``table`` is a RouteTableState.",
        "table:bytes departures:[Departure]",
    ),
)
