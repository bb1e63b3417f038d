"""Small jobs for tests."""

from rackswitch.jobs import Job, JobItem, JobLedger, RewardCall, TextPiece


def make_item(number: int, reward: bool = False, expected_tokens: float = 0.0) -> JobItem:
    call = RewardCall(request_id=f"r{number}", host="h", path="/s", body=b"b") if reward else None
    return JobItem(
        item_id=f"i{number}",
        path=f"/p/{number}",
        headers=(),
        body=b"body",
        tokens=10,
        expected_tokens=expected_tokens,
        group=f"g{number // 2}",
        reward=call,
    )


def make_job(
    items: int = 4, reward: bool = False, oldest_version: int = 0, job_id: str = "j"
) -> Job:
    return Job(
        job_id=job_id,
        host="h",
        path="/p",
        items=tuple(make_item(number, reward) for number in range(items)),
        model="m",
        oldest_version=oldest_version,
    )


def finish(ledger: JobLedger, item_id: str, text: str = "a") -> None:
    """Run an item to its end."""
    progress = ledger.items[item_id]
    ledger.record_start(progress)
    assert progress.accept(TextPiece(progress.last_number + 1, text, 1), 0) is None
    ledger.record_complete_text(progress)
