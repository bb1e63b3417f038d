"""Stand-in callers that check each answer against the request they sent."""

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
MICROSECONDS_PER_SECOND = 1_000_000
HISTOGRAM_MAX_MICROSECONDS = 120 * MICROSECONDS_PER_SECOND
SSE_DATA = b"data: "


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, HISTOGRAM_MAX_MICROSECONDS, 3)


@dataclass(slots=True)
class CallerRecord:
    """Outcomes counted by the callers, independently of the daemons."""

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

    def count_detail(self, detail: str) -> None:
        """Count one refusal or failure by its detail."""
        self.details[detail] = self.details.get(detail, 0) + 1

    def violations(self) -> list[str]:
        """Return a line for each kind of violation found in the answers alone."""
        counts = {
            "answers passed off as whole that were cut": self.cut,
            "answers of another request": self.foreign,
        }
        return [f"{count} {what}" for what, count in counts.items() if count]


class CallerStandIn:
    """A caller that sends each request to a random daemon, as a load balancer would.

    Parameters
    ----------
    token : str
        Bearer token of the caller.
    urls : list of str
        Base URLs of the daemons.
    """

    def __init__(self, token: str, urls: list[str], seed: int = 1):
        self.record = CallerRecord()
        self.urls = urls
        self._headers = {"Authorization": f"Bearer {token}"}
        self._rng = random.Random(seed)
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS, sock_connect=1.0)
        # One connection per call, so that calls spread over the daemons as behind a balancer.
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        self._session = aiohttp.ClientSession(timeout=timeout, connector=connector)

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()

    def violations(self, runs_by_key: dict[str, int]) -> list[str]:
        """Return all violations, given the number of runs by idempotency key."""
        repeated = sum(1 for count in runs_by_key.values() if count > 1)
        false_refusals = sum(1 for key in self.record.not_run_keys if runs_by_key.get(key, 0) > 0)
        lost = sum(1 for key in self.record.completed_keys if runs_by_key.get(key, 0) == 0)
        lines = self.record.violations()
        if repeated:
            lines.append(f"{repeated} non-repeatable requests ran more than once")
        if false_refusals:
            lines.append(f"{false_refusals} requests reported as not run had run")
        if lost:
            lines.append(f"{lost} requests reported as completed never ran")
        return lines

    async def complete(
        self, model: str, prompt: str, max_tokens: int, seed: int, stream: bool = True
    ) -> None:
        """Request a completion and check its text."""
        loop = asyncio.get_running_loop()
        began_seconds = loop.time()
        body = {"model": model, "prompt": prompt, "max_tokens": max_tokens, "seed": seed}
        body["stream"] = stream
        url = self._rng.choice(self.urls) + "/v1/completions"
        try:
            async with self._session.post(url, json=body, headers=self._headers) as answer:
                if answer.status != 200:
                    self._record_refusal(await answer.read())
                    return
                text = await (self._read_stream(answer) if stream else self._read_json(answer))
        except (aiohttp.ClientError, TimeoutError) as error:
            self.record.failed += 1
            self.record.count_detail(type(error).__name__)
            return
        if text is None:
            return
        expected = "".join(token_text(token) for token in expected_tokens(prompt, seed, max_tokens))
        self._check_answer(text, expected, loop.time() - began_seconds)

    async def call_service(self, service: str, path: str, body: bytes, key: str | None) -> None:
        """Call a plain service and check the answer; a call with a key is not repeatable."""
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
            self.record.count_detail(type(error).__name__)
            return
        if answer.status != 200:
            ran = self._record_refusal(content)
            if key is not None and ran == "no":
                self.record.not_run_keys.add(key)
            return
        if key is not None:
            self.record.completed_keys.add(key)
        expected = expected_answer(path, body).decode()
        self._check_answer(content.decode(), expected, loop.time() - began_seconds)

    async def _read_json(self, answer: aiohttp.ClientResponse) -> str:
        body = await answer.json()
        return body["choices"][0]["text"]

    async def _read_stream(self, answer: aiohttp.ClientResponse) -> str | None:
        """Return the text, or None if the stream ended early."""
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
                self.record.count_detail(chunk["error"]["detail"])
                return None
            parts.append(chunk["choices"][0]["text"])
        self.record.failed += 1
        self.record.count_detail("stream without end")
        return None

    def _record_refusal(self, content: bytes) -> str:
        try:
            problem = json.loads(content)
        except ValueError:
            self.record.failed += 1
            self.record.count_detail(content[:60].decode(errors="replace"))
            return "unknown"
        ran = problem.get("ran", "unknown")
        if ran == "no":
            self.record.not_run += 1
        else:
            self.record.may_have_run += 1
        self.record.count_detail(f"{problem.get('title')}: {problem.get('detail')}")
        return ran

    def _check_answer(self, text: str, expected: str, elapsed_seconds: float) -> None:
        if text == expected:
            self.record.completed += 1
            self.record.latency.record_value(int(elapsed_seconds * MICROSECONDS_PER_SECOND))
        elif expected.startswith(text):
            self.record.cut += 1
        else:
            self.record.foreign += 1
