"""Random legal event sequences: the rules and exactly one answer hold, whatever comes."""

from helpers import T0, S, server_entry, settings
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from mintmast import Controller
from mintmast import interface as api
from mintmast.interface import Outcome, ServerState

STEPS = st.lists(
    st.tuples(
        st.sampled_from(["request", "request", "play", "end", "fail", "gone", "list", "note", "wait"]),
        st.integers(0, 7),
        st.integers(0, 7),
        st.floats(allow_nan=True),
    ),
    max_size=80,
)
FAILURES = [
    Outcome.ERROR,
    Outcome.FULL,
    Outcome.TIMEOUT,
    Outcome.CONNECT_FAILED,
    Outcome.RESET,
    Outcome.NOT_SENT,
]
NEVER_RAN = {Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT}


class World:
    """Plays the other side and checks every action."""

    def __init__(self, seed):
        self.settings = settings(budget=api.AttemptBudget(20 * S, 2.0, 0.5))
        self.controller = Controller(self.settings, seed)
        self.now = T0
        self.state = {server_entry(n).server: ServerState.READY for n in range(4)}
        self.requests = {}  # ref -> dict(service, title, attempts, out, playing, answered, maybe)
        self.log = []
        self.do(api.Started())
        self.do(api.ServerList(api.ListKind.CACHED, 1, tuple(server_entry(n) for n in range(4))))

    def do(self, event):
        actions = self.controller.handle(self.now, event)
        self.log += actions
        for action in actions:
            if isinstance(action, api.SetUp):
                r = self.requests[action.request]
                assert not r["answered"] and r["out"] is None and not r["playing"]
                assert self.state[action.server] is ServerState.READY
                assert r["service"] == 1 or not r["maybe"]
                r["out"], r["attempts"] = action.server, r["attempts"] + 1
                assert r["attempts"] <= self.settings.max_attempts
                assert action.timeout_at == 0 or action.timeout_at > self.now
                held = [
                    q
                    for q in self.requests.values()
                    if q["out"] and q["service"] == 0 and q["title"] == r["title"]
                ]
                assert r["service"] == 1 or len(held) <= 2
            elif isinstance(action, api.Refuse | api.Fail):
                r = self.requests[action.request]
                assert not r["answered"] and r["out"] is None
                assert isinstance(action, api.Fail) or r["service"] == 1 or not r["maybe"]
                r["answered"] = True
            elif isinstance(action, api.SetRung):
                assert 0 <= action.rung <= self.requests[action.request]["best"]
            elif isinstance(action, api.Cancel):
                assert self.requests[action.request]["out"] and not self.requests[action.request]["playing"]

    def step(self, what, a, b, value):
        out = [(ref, r) for ref, r in self.requests.items() if r["out"]]
        if what == "request":
            ref = len(self.requests)
            self.requests[ref] = {
                "service": a % 2, "title": b % 2, "best": b % 4, "attempts": 0, "out": None,
                "playing": False, "answered": False, "maybe": False,
            }  # fmt: skip
            self.do(api.SessionRequest(ref, a % 2, 0, b % 2, 3 * S, b, 3, b % 4, 20 * S))
            r = self.requests[ref]
            assert r["answered"] or r["out"], "a request is sent or answered at once"
        elif what == "list":
            server = server_entry(a % 4)
            state = list(ServerState)[b % 3]
            self.state[server.server] = state
            self.do(
                api.ServerList(api.ListKind.DELTA, 2, (server_entry(a % 4, state, self.now if b > 4 else 0),))
            )
        elif what == "wait":
            self.now += (a + 1) * S // 4
        elif out:
            ref, r = out[a % len(out)]
            if what == "play" and not r["playing"] and not r["answered"]:
                r["playing"] = r["maybe"] = True
                self.do(api.Playing(ref, r["attempts"] - 1, r["out"], 1000))
            elif what == "note":
                self.do(
                    api.Note(ref, r["out"], list(api.NoteKind)[b % 4], value if b < 4 else abs(value) % 2)
                )
            elif what == "gone" and not r["answered"] and not r["playing"]:
                self.do(api.ViewerGone(ref))
                r["answered"] = True
            elif what in ("end", "fail"):
                ended = r["playing"] or r["answered"]
                outcome = Outcome.SERVED if r["playing"] and what == "end" else FAILURES[b % 6]
                server, r["out"], r["playing"] = r["out"], None, False
                r["maybe"] |= outcome not in NEVER_RAN
                r["answered"] |= ended
                self.do(api.AttemptEnd(ref, r["attempts"] - 1, server, outcome, 1000, ended, (value,)))
                assert r["answered"] or r["out"], "an attempt that failed is followed or answered at once"


@hypothesis_settings(derandomize=True, max_examples=150, deadline=None)
@given(STEPS, st.integers(0, 3))
def test_rules_hold_and_each_request_has_one_answer(steps, seed):
    first, second = World(seed), World(seed)
    for step in steps:
        first.step(*step)
        second.step(*step)
    assert first.log == second.log
