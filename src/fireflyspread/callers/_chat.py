"""Answers of turns in the format of chat completions."""

import msgspec

from fireflyspread.callers._bodies import ChatMessage, decode_body
from fireflyspread.exceptions import HistoryMismatchError
from fireflyspread.programs import Program
from fireflyspread.recovery import Durability, TurnRecorded

__all__ = [
    "make_completion",
    "make_end_events",
    "make_replay_events",
    "read_recorded_text",
    "extract_new_messages",
]

_DONE = b"data: [DONE]\n\n"


class _RecordedMessage(msgspec.Struct):
    role: str
    content: str | list[dict[str, object]] | None = None


def read_recorded_text(record: TurnRecorded) -> str:
    """Return the answer text of a recorded turn."""
    messages = msgspec.json.decode(record.added, type=list[_RecordedMessage])
    content = messages[-1].content if messages else ""
    return content if isinstance(content, str) else ""


def make_completion(
    program: str, model: str, record: TurnRecorded, durability: Durability
) -> dict[str, object]:
    """Return a recorded turn as a ``chat.completion`` object."""
    message = {"role": "assistant", "content": read_recorded_text(record)}
    return {
        "id": f"{program}-{record.turn}",
        "object": "chat.completion",
        "model": model,
        "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
        "usage": msgspec.Raw(record.answer),
        "fireflyspread": _describe_turn(program, record, durability),
    }


def make_end_events(
    program: str, record: TurnRecorded, durability: Durability
) -> bytes:
    """Return the events after the engine's: the recorded turn and the end mark."""
    end = {
        "id": f"{program}-{record.turn}",
        "object": "chat.completion.chunk",
        "choices": [],
        "fireflyspread": _describe_turn(program, record, durability),
    }
    return b"data: " + msgspec.json.encode(end) + b"\n\n" + _DONE


def make_replay_events(
    program: str, record: TurnRecorded, durability: Durability
) -> bytes:
    """Return a recorded turn as events: one with the whole text, then the end mark."""
    chunk = {
        "id": f"{program}-{record.turn}",
        "object": "chat.completion.chunk",
        "choices": [
            {
                "index": 0,
                "delta": {"role": "assistant", "content": read_recorded_text(record)},
                "finish_reason": "stop",
            }
        ],
        "usage": msgspec.Raw(record.answer),
    }
    event = b"data: " + msgspec.json.encode(chunk) + b"\n\n"
    return event + make_end_events(program, record, durability)


def extract_new_messages(program: Program, number: int, messages: msgspec.Raw) -> bytes:
    """Return the messages of turn ``number`` beyond the history before it.

    Chat clients send the whole history with each turn.

    Raises
    ------
    HistoryMismatchError
        The messages do not start with the program's history.
    """
    sent = decode_body(bytes(messages), list[msgspec.Raw])
    history = [
        message
        for turn in program.turns[: number - 1]
        for message in msgspec.json.decode(turn.added, type=list[ChatMessage])
    ]
    if [decode_body(bytes(m), ChatMessage) for m in sent[: len(history)]] != history:
        raise HistoryMismatchError(
            "the messages do not start with the program's history; read it with "
            "GET /v1/programs/<id>/history and continue from there"
        )
    return b"[" + b",".join(bytes(m) for m in sent[len(history) :]) + b"]"


def _describe_turn(
    program: str, record: TurnRecorded, durability: Durability
) -> dict[str, object]:
    return {
        "program": program,
        "turn": record.turn,
        "spent": record.spent,
        "chain": record.chain,
        "durability": durability.value,
    }
