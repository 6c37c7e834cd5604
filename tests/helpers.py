"""Small fleets for tests of the controller."""

from dataclasses import replace

from mintmast import Controller
from mintmast import interface as api

S = 1_000_000
T0 = 1000 * S


def settings(**changes):
    base = api.Settings(
        instance=0,
        instances=2,
        zone=0,
        classes=(
            api.ServiceClass(
                api.Effect.SINGLE_SHOT, target_time=S, deadline=3 * S, worth=3.0, top=3, seats=2
            ),
            api.ServiceClass(api.Effect.FREE, target_time=S, deadline=5 * S, worth=1.0, top=3),
        ),
        tenants=(),
        over_share_worth=1.0,
        rung_kb=(200.0, 400.0, 900.0, 2000.0),
        rung_worth=(0.25, 0.5, 0.8, 1.0),
        links_kb=40_000.0,
        weight_kb=10_000.0,
        has_weights=False,
        kind_streams=(30,),
        cells=4,
        racks=1,
        uplink_kb=40_000.0,
        guard=0.0,
        shared_adds=1.0,
        class_is_live=(False, False),
        stall_cost=7.0,
        change_costs_s=0.5,
        note_age=S // 2,
        notes_every=3 * S,
        drain_grace=S,
        warm_up=12 * S,
        warm_up_from=0.4,
        overload_window=1_500_000,
        overload_factor=2.5,
        budget=None,
        max_attempts=5,
        max_retry_after=500_000,
        may_advise=True,
        may_cancel=True,
        must_subscribe=False,
        load_fields=("x0",),
    )
    return replace(base, **changes)


def server_entry(n, state=api.ServerState.READY, started=0):
    return api.ListEntry(bytes([10, 0, 0, n, 27, 0]), state, started, n, 0, 0, 1.0)


def make_controller(servers=4, seed=1, now=T0, **changes):
    """A controller that started long before `now`, so that no server counts as cold."""
    controller = Controller(settings(**changes), seed)
    start = now - 100 * S
    controller.handle(start, api.Started())
    controller.handle(
        start, api.ServerList(api.ListKind.FULL, 1, tuple(server_entry(n) for n in range(servers)))
    )
    return controller


def request(ref, service=1, title=5, best=3, budget=3 * S, copies=4, home=0, hint=30 * S):
    return api.SessionRequest(ref, service, 0, title, budget, home, copies, best, hint)


def attempt_end(ref, server, outcome, attempt=0, complete=False, load=()):
    return api.AttemptEnd(ref, attempt, server, outcome, 1000, complete, load)


def set_ups(actions):
    return [a for a in actions if isinstance(a, api.SetUp)]


def action_names(actions):
    return [type(a).__name__ for a in actions]


def report_use(controller, now, server, value, ref=9000):
    """Tell a server's noted use through a session found playing there."""
    controller.handle(now - 2 * S, api.SessionOpen(ref, 1, 0, 77, 0, server, 500 * S))
    controller.handle(now, api.Note(ref, server, api.NoteKind.LINK, value))
