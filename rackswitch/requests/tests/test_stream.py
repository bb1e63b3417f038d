"""A stream is accepted only if it belongs to its request, is in order and complete."""

from hypothesis import given
from hypothesis import strategies as st

from rackswitch.requests import StreamCheck, StreamChunk, VersionSpan

LENGTHS = st.lists(st.integers(1, 4), min_size=2, max_size=20)


def make_stream(lengths, request_id="r"):
    chunks, token_count = [], 0
    for index, length in enumerate(lengths):
        token_count += length
        is_last = index == len(lengths) - 1
        chunks.append(
            StreamChunk(
                request_id=request_id,
                token_ids=tuple(range(token_count - length, token_count)),
                text="x" * length,
                tokens_so_far=token_count,
                version=1,
                finish_reason="stop" if is_last else None,
            )
        )
    return chunks


def is_accepted(chunks):
    """Return whether a stream passes the check."""
    check = StreamCheck("r")
    return all(check.accept(chunk) is None for chunk in chunks) and check.close() is None


def is_accepted_by_naive_check(chunks):
    """Return the result of a check that ignores missing chunks."""
    return bool(chunks)


@given(LENGTHS)
def test_accepts_a_complete_stream(lengths):
    assert is_accepted(make_stream(lengths))


@given(LENGTHS, st.data())
def test_rejects_a_damaged_stream(lengths, data):
    chunks = make_stream(lengths)
    index = data.draw(st.integers(0, len(chunks) - 1))
    damage = data.draw(st.sampled_from(["cut", "gap", "repeat", "swap", "foreign"]))
    if damage == "cut":
        damaged = chunks[:index]
    elif damage == "gap":
        damaged = chunks[:index] + chunks[index + 1 :]
    elif damage == "repeat":
        damaged = chunks[: index + 1] + chunks[index:]
    elif damage == "foreign":
        damaged = chunks[:index] + make_stream([2], "other") + chunks[index:]
    else:
        index = max(1, index)
        damaged = [*chunks[: index - 1], chunks[index], chunks[index - 1], *chunks[index + 1 :]]
    assert not is_accepted(damaged)


@given(LENGTHS, st.data())
def test_rejects_a_chunk_that_differs_only_in_its_request_id(lengths, data):
    # Unlike the damage above, this leaves the number of tokens unchanged.
    chunks = make_stream(lengths)
    index = data.draw(st.integers(0, len(chunks) - 1))
    chunks[index] = make_stream(lengths, "other")[index]
    assert not is_accepted(chunks)


def test_a_naive_check_accepts_a_truncated_stream():
    assert is_accepted_by_naive_check(make_stream([1, 2, 3])[:1])


def make_chunk(version: int | None, token_count: int, tokens_so_far: int) -> StreamChunk:
    return StreamChunk(
        "r", tuple(range(token_count)), "x" * token_count, tokens_so_far, version, None
    )


def test_spans_record_the_version_that_generated_each_token():
    check = StreamCheck("r")
    for chunk in (
        make_chunk(1, 2, 2),
        make_chunk(1, 3, 5),
        make_chunk(2, 0, 5),
        make_chunk(2, 4, 9),
    ):
        assert check.accept(chunk) is None
    assert check.spans == [VersionSpan(1, 5), VersionSpan(2, 4)]
