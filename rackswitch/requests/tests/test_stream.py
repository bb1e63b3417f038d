"""A stream is passed off as whole only if it is this request's own, in order, to its end."""

from hypothesis import given
from hypothesis import strategies as st

from rackswitch.requests import StreamCheck, StreamChunk, VersionSpan

LENGTHS = st.lists(st.integers(1, 4), min_size=2, max_size=20)


def make_stream(lengths, request_id="r"):
    chunks, total = [], 0
    for number, length in enumerate(lengths):
        total += length
        last = number == len(lengths) - 1
        chunks.append(
            StreamChunk(
                request_id=request_id,
                token_ids=tuple(range(total - length, total)),
                text="x" * length,
                tokens_so_far=total,
                version=1,
                finish_reason="stop" if last else None,
            )
        )
    return chunks


def judge(chunks):
    """Return whether a stream is taken for whole."""
    check = StreamCheck("r")
    return all(check.accept(chunk) is None for chunk in chunks) and check.close() is None


def naive_judge(chunks):
    """Take the end of the connection for the end of the answer."""
    return bool(chunks)


@given(LENGTHS)
def test_a_whole_stream_is_taken(lengths):
    assert judge(make_stream(lengths))


@given(LENGTHS, st.data())
def test_damaged_streams_are_not(lengths, data):
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
    assert not judge(damaged)


@given(LENGTHS, st.data())
def test_a_foreign_chunk_that_fits_in_every_other_way_is_not_taken(lengths, data):
    # The damage above changes the count of tokens as well; here only the identity differs.
    chunks = make_stream(lengths)
    index = data.draw(st.integers(0, len(chunks) - 1))
    chunks[index] = make_stream(lengths, "other")[index]
    assert not judge(chunks)


def test_the_naive_judge_takes_a_cut_stream_for_whole():
    assert naive_judge(make_stream([1, 2, 3])[:1])


def chunk_of(version: int | None, count: int, so_far: int) -> StreamChunk:
    return StreamChunk("r", tuple(range(count)), "x" * count, so_far, version, None)


def test_the_spans_say_which_version_made_which_tokens():
    check = StreamCheck("r")
    for chunk in (chunk_of(1, 2, 2), chunk_of(1, 3, 5), chunk_of(2, 0, 5), chunk_of(2, 4, 9)):
        assert check.accept(chunk) is None
    assert check.spans == [VersionSpan(1, 5), VersionSpan(2, 4)]
