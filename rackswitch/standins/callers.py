"""Stand-ins of callers, which check every answer against its own request."""

import asyncio
import json
import random
from dataclasses import dataclass, field

import aiohttp
from hdrh.histogram import HdrHistogram

from rackswitch.standins.engine import expected_tokens, token_text
from rackswitch.standins.services import expected_answer

__all__ = ["CallerRecord", "CallerStandIn"]

CALL_TIMEOUT_SECONDS = 30.0
MICROSECONDS = 1_000_000
HISTOGRAM_MAX_MICROSECONDS = 120 * MICROSECONDS
SSE_DATA = b"data: "


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, HISTOGRAM_MAX_MICROSECONDS, 3)


@dataclass(slots=True)
class CallerRecord:
    """What callers have seen, counted outside of the daemons."""

    completed: int = 0
    not_run: int = 0
    may_have_run: int = 0
    failed: int = 0
    cut: int = 0
    foreign: int = 0
    latency: HdrHistogram = field(default_factory=_histogram)
    not_run_keys: set[str] = field(default_factory=set)
    completed_keys: set[str] = field(default_factory=set)
    sent_keys: set[str] = field(default_factory=set)
    details: dict[str, int] = field(default_factory=dict)

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile of the latency of completed requests, in milliseconds."""
        return self.latency.get_value_at_percentile(percentile) / 1000.0

    def note(self, detail: str) -> None:
        """Count one more of a kind of refusal or failure."""
        self.details[detail] = self.details.get(detail, 0) + 1

    def violations(self) -> list[str]:
        """Return a line for each kind of violation seen by the callers alone."""
        counts = {
            "answers passed off as whole that were cut": self.cut,
            "answers of another request": self.foreign,
        }
        return [f"{count} {what}" for what, count in counts.items() if count]


class CallerStandIn:
    """A caller of any daemon, as through a balancer.

    Parameters
    ----------
    token : str
        Its bearer token.
    urls : list of str
        The daemons.
    """

    def __init__(self, token: str, urls: list[str], seed: int = 1):
        self.record = CallerRecord()
        self.urls = urls
        self._headers = {"Authorization": f"Bearer {token}"}
        self._rng = random.Random(seed)
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS, sock_connect=1.0)
        # A connection for each call, as a balancer would spread them over the daemons.
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        self._session = aiohttp.ClientSession(timeout=timeout, connector=connector)

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()

    def violations(self, runs_by_key: dict[str, int]) -> list[str]:
        """Return all violations, given how often services ran each idempotency key."""
        doubled = sum(1 for count in runs_by_key.values() if count > 1)
        false_refusals = sum(1 for key in self.record.not_run_keys if runs_by_key.get(key, 0) > 0)
        lost = sum(1 for key in self.record.completed_keys if runs_by_key.get(key, 0) == 0)
        lines = self.record.violations()
        if doubled:
            lines.append(f"{doubled} requests that may not be repeated ran twice")
        if false_refusals:
            lines.append(f"{false_refusals} requests said to be not run that ran")
        if lost:
            lines.append(f"{lost} requests said to be completed that never ran")
        return lines

    async def complete(
        self, model: str, prompt: str, max_tokens: int, seed: int, stream: bool = True
    ) -> None:
        """Ask for a completion and check it."""
        loop = asyncio.get_running_loop()
        began_seconds = loop.time()
        body = {"model": model, "prompt": prompt, "max_tokens": max_tokens, "seed": seed}
        body["stream"] = stream
        url = self._rng.choice(self.urls) + "/v1/completions"
        try:
            async with self._session.post(url, json=body, headers=self._headers) as answer:
                if answer.status != 200:
                    self._refused(await answer.read())
                    return
                text = await (self._read_stream(answer) if stream else self._read_whole(answer))
        except (aiohttp.ClientError, TimeoutError) as error:
            self.record.failed += 1
            self.record.note(type(error).__name__)
            return
        if text is None:
            return
        expected = "".join(token_text(token) for token in expected_tokens(prompt, seed, max_tokens))
        self._judge(text, expected, loop.time() - began_seconds)

    async def call_service(self, service: str, path: str, body: bytes, key: str | None) -> None:
        """Call a plain service, not repeatable if there is a key; check the answer."""
        loop = asyncio.get_running_loop()
        began_seconds = loop.time()
        headers = dict(self._headers)
        headers["Rackswitch-Repeatable"] = "yes" if key is None else "no"
        if key is not None:
            headers["Idempotency-Key"] = key
            self.record.sent_keys.add(key)
        url = f"{self._rng.choice(self.urls)}/v1/services/{service}/{path}"
        try:
            async with self._session.post(url, data=body, headers=headers) as answer:
                content = await answer.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            self.record.failed += 1
            self.record.note(type(error).__name__)
            return
        if answer.status != 200:
            ran = self._refused(content)
            if key is not None and ran == "no":
                self.record.not_run_keys.add(key)
            return
        if key is not None:
            self.record.completed_keys.add(key)
        expected = expected_answer(path, body).decode()
        self._judge(content.decode(), expected, loop.time() - began_seconds)

    async def _read_whole(self, answer: aiohttp.ClientResponse) -> str:
        body = await answer.json()
        return body["choices"][0]["text"]

    async def _read_stream(self, answer: aiohttp.ClientResponse) -> str | None:
        """Return the text if the stream came to its end, else None."""
        parts: list[str] = []
        async for line in answer.content:
            if not line.startswith(SSE_DATA):
                continue
            data = line[len(SSE_DATA) :].strip()
            if data == b"[DONE]":
                return "".join(parts)
            chunk = json.loads(data)
            if "error" in chunk:
                self.record.may_have_run += 1
                self.record.note(chunk["error"]["detail"])
                return None
            parts.append(chunk["choices"][0]["text"])
        self.record.failed += 1
        self.record.note("stream without end")
        return None

    def _refused(self, content: bytes) -> str:
        try:
            problem = json.loads(content)
        except ValueError:
            self.record.failed += 1
            self.record.note(content[:60].decode(errors="replace"))
            return "unknown"
        ran = problem.get("ran", "unknown")
        if ran == "no":
            self.record.not_run += 1
        else:
            self.record.may_have_run += 1
        self.record.note(f"{problem.get('title')}: {problem.get('detail')}")
        return ran

    def _judge(self, text: str, expected: str, elapsed_seconds: float) -> None:
        if text == expected:
            self.record.completed += 1
            self.record.latency.record_value(int(elapsed_seconds * MICROSECONDS))
        elif expected.startswith(text):
            self.record.cut += 1
        else:
            self.record.foreign += 1
