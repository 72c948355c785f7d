"""What the cases share: their record, their result and the end of their processes."""

import asyncio
import os
import time
import traceback

from deployment import Deployment

#: Whether the disruption is played.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, NOT_RUN = 0, 1, 2


class Case:
    """One run: what was sent and answered, and what the workers saw."""

    def __init__(self, deployment, record):
        self.deployment = deployment
        self.record = record
        self.began_at = time.monotonic()

    def note(self, text):
        """Write a line of the record."""
        self._write(time.monotonic(), text)
        self.record.flush()

    def _write(self, at, text):
        self.record.write(f"{at - self.began_at:7.2f} {text}\n")

    def note_events(self, events):
        """Write what the workers saw; the ends that were taken note of are left out."""
        for event in events:
            if event["event"] != "noted":
                words = " ".join(f"{k}={v}" for k, v in event.items() if k not in ("at", "event"))
                self._write(event["at"], f"worker {event['event']} {words}")

    async def play(self):
        """Play the case; return whether the rule held, None if that can't be said."""
        raise NotImplementedError


async def _play(make_case, limit_s, settings):
    deployment = Deployment(**settings)
    with open("record.txt", "w", encoding="utf-8") as record:
        case = make_case(deployment, record)
        try:
            held = await asyncio.wait_for(case.play(), limit_s)
        except Exception:
            record.write(traceback.format_exc())
            return NOT_RUN
        finally:
            deployment.close()
        if held is None:
            case.note("the case could not run")
            return NOT_RUN
        case.note("the rule held" if held else "the rule was broken")
        return HELD if held else BROKEN


def run(make_case, *, limit_s=118, **settings):
    """Play a case and end this process with its result."""

    async def main():
        # Left at once: the stand-ins' open connections need no orderly end.
        os._exit(await _play(make_case, limit_s, settings))

    asyncio.run(main())
