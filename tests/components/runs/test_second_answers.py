"""Tests of runs on an upstream that sends its answers twice."""

import time
from dataclasses import replace

import pytest

from lacewingdock.components.runs.upstream_call import call_upstream
from lacewingdock.world.run import Run
from tests.memory_links import attempt_of
from tests.repeating_server import Moment, RepeatingServer

DEADLINE_S = 5.0


@pytest.mark.parametrize("moment", list(Moment))
def test_second_answer_is_not_the_next_runs(moment):
    """Guards against a run that ends with the answer to the run before."""
    server = RepeatingServer(lambda target: target.encode(), moment)
    url = "http://{}:{}".format(*server.address)
    answers = []
    for number in range(3):
        run = Run(replace(attempt_of(f"a{number}"), path=f"/{number}"))
        deadline = time.monotonic() + DEADLINE_S
        call_upstream(url, run, deadline, is_engine=False)
        answers.append(b"".join(run.chunks))
    server.close()
    assert answers == [b"/0", b"/1", b"/2"]
    assert server.connections == 3
