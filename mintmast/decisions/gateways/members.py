"""Failure detection among the gateways of a region: probes, suspicion, refutation and gossiped updates.

The protocol is SWIM (Das, Gupta, Motivala 2002) with the local health of Lifeguard (Dadgar, Phillips, Currey
2017). In each period a gateway probes one other, first directly, then through other gateways and over TCP,
and piggybacks updates on the messages that it sends anyway. It differs in three points: the word of one
observer never makes a member unreachable, however long the suspicion lasts; a gateway whose process was
paused suspects nobody; and unreachable never becomes dead by itself (`member_status.py`).

Pure: `handle(now, event)` returns commands. Times are in µs; the random generator is passed in.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from dataclasses import dataclass, replace

from mintmast.decisions.gateways.gossip_messages import (
    MAX_UPDATES,
    GossipKind,
    GossipMessage,
    GossipWithDeltas,
    GossipWithDigest,
    MemberUpdate,
    hash_status,
    revision_summary_of,
)
from mintmast.decisions.gateways.member_status import (
    MEMBER_POLICIES,
    Liveness,
    MemberPolicy,
    MemberState,
    MemberStatus,
    apply_refusal,
    count_live,
    merge_status,
    refute,
)
from mintmast.decisions.gateways.membership_types import (
    Command,
    ConnectionRefused,
    Event,
    ForgetMember,
    GossipReceived,
    Member,
    MemberChanged,
    MemberMoved,
    OperatorNotice,
    PathState,
    ScheduleTimer,
    SendGossip,
    TimerFired,
)
from mintmast.decisions.gateways.revision_gossip import RevisionGossip
from mintmast.decisions.gateways.revision_types import RevisionAnnounced

MS, SECOND = 1000, 1_000_000
# length of a probe, direct and indirect parts together: half a second detects a failure within the time that
# a paid viewer waits
PROBE_PERIOD_US = 500 * MS
# time for a direct answer before the indirect probes: a round trip in a region and one turn of a busy loop.
# The next probe starts after this time if the last was answered and there are updates to send, else after a
# period
PROBE_TIMEOUT_US = 150 * MS
# gateways asked to probe on this one's behalf, as in SWIM: with a fifth of all datagrams lost, all three fail
# for a healthy member once in fourteen probes
INDIRECT_PROBES = 3
# observers required before a member counts as unreachable, if there are that many: a fault on one machine, or
# on two behind one broken switch, makes nobody unreachable
MIN_OBSERVERS = 3
# least duration of a suspicion, so that the suspected member has time to refute it
SUSPICION_US = 2 * PROBE_PERIOD_US
# transmissions of an update for each doubling of the number of gateways; SWIM's lambda
RETRANSMIT_FACTOR = 3
# a timer that is late by more than this means that the process was paused: longer than any turn of a healthy
# loop, shorter than the wait of a probe
PAUSE_THRESHOLD_US = 200 * MS
# members to hear from after a pause, where half of the region is more: together they know all recent updates
# of the region, and so many are not all behind one partition
MIN_HEARD_AFTER_PAUSE = 5
# time after a message with another digest in which old updates are sent in turn and probes go fast; if the
# two still differ, the next such message arrives sooner
DIVERGENCE_US = 2 * PROBE_PERIOD_US
# consecutive messages with this gateway's own digest after which it drops its pending updates. If one member
# in four were behind, this would happen one time in ten, and those members announce it by their digests
AGREEING_MESSAGES = 8
# distance between the first old updates of consecutive answers: a few less than a message holds, because new
# updates go first
UPDATE_STRIDE = 8
# limit of the local health penalty, each step of which lengthens the timeouts by one: Lifeguard's bound
MAX_HEALTH_PENALTY = 8
# at most one probe in so many goes to a member that is not present, so that its return is noticed; and all
# gateways together send it so many in a period, once this gateway has finished its first round. With always
# one in four, a returning machine would receive messages from thousands of gateways in its first second
LOST_PROBE_INTERVAL, LOST_PROBES_PER_PERIOD = 4, 1.0
# gateways that probe a suspected member out of turn: the required observers and a few more, as some are late.
# If all that learn of a suspicion did so at once, they would flood a member that is often only slow
EARLY_PROBERS = 12
# fields of a message that announces no revision and carries none; see `GossipWithRevision`
NO_REVISION = -1, 0, 0, ()
# consecutive direct answers after which a broken path counts as working again; one alone would let it flap
ANSWERS_TO_RECOVER_PATH = 4


@dataclass(slots=True)
class _Probe:
    target: str
    number: int
    sent_at: int
    helpers: tuple[str, ...] = ()
    is_indirect: bool = False
    nacks: int = 0


class Members:
    """Membership as one gateway sees it; `names` are all gateways of the region, itself included."""

    def __init__(
        self, name: str, generation: int, names: tuple[str, ...], rng: random.Random, address: str = ""
    ) -> None:
        self.name, self.own_status, self._random = name, MemberStatus(generation, 0, MemberState.ALIVE), rng
        self._address = address
        self.others = {each: Member(each) for each in sorted(names) if each != name}
        self._names = tuple(self.others)
        self._suspected: dict[str, None] = {}
        self._not_present = dict.fromkeys(self._names)  # members neither alive nor suspected
        self._never_heard = dict.fromkeys(self._names)  # those of them that were never heard from
        self.health_penalty = 0
        self.disqualified_reason = ""  # why this process must no longer act under its name
        self.dropped = dict.fromkeys(("foreign", "old", "doubled", "bad state"), 0)
        self.messages_sent = 0
        self.revision_gossip: RevisionGossip | None = None  # None if the configuration is not shared
        # members heard since a pause; None when there were enough
        self._heard_since_pause: set[str] | None = set()
        self._periods_since_pause = 0
        self._probe: _Probe | None = None
        # own probe number: requester, its probe number, time
        self._relayed_probes: dict[int, tuple[str, int, int]] = {}
        self._probe_number = 0
        self._probe_order: list[str] = []
        self._probe_next: deque[str] = deque(maxlen=64)  # suspected by others, to be probed out of turn
        self._pending_updates: dict[str, int] = {}  # updates to send, and how often each was sent
        self._update_cursor = 0
        self._digest = hash_status(name, self.own_status)
        self._agreeing_messages = 0  # consecutive messages whose digest equals this gateway's
        self._diverged_until = 0  # µs until when the digests of others are taken to differ
        self._skipped_period = False
        self._timer_at = 0
        self._commands: list[Command] = []

    # Queries

    @property
    def is_steady(self) -> bool:
        """Return whether elapsed time is meaningful: no recent pause, and the process is not disqualified."""
        return self._heard_since_pause is None and not self.disqualified_reason

    def liveness(self, name: str, generation: int | None = None) -> Liveness:
        """Return what is known about a member, or about one of its generations."""
        member = self.others[name]
        return (
            Liveness.LATER_START
            if generation is not None and generation < member.status.generation
            else member.liveness
        )

    def policy(self, name: str, generation: int | None = None) -> MemberPolicy:
        """Return what may be assumed about a member."""
        return MEMBER_POLICIES[self.liveness(name, generation)]

    def counts(self) -> tuple[int, int]:
        """Count the gateways, this one included, that may spend shared budgets and those that carry load."""
        return count_live([each.liveness for each in self.others.values()])

    # Events

    def begin(self, now: int) -> list[Command]:
        """Start at a random point of the first period, so that gateways started together stay out of step."""
        if self.others:
            self._schedule_timer(now + self._random.randrange(PROBE_PERIOD_US))
        return self._take_commands()

    def leave(self, now: int) -> list[Command]:
        """Announce the shutdown of this gateway."""
        self.own_status = replace(self.own_status, state=MemberState.LEFT)
        present = [each.name for each in self.others.values() if each.liveness is Liveness.HEARD]
        for name in self._random.sample(present, min(len(present), 2 * INDIRECT_PROBES)):
            self._send(now, name, GossipKind.LEAVE)
        return self._take_commands()

    def handle(self, now: int, event: Event) -> list[Command]:
        """Handle an event and return the commands that follow."""
        if isinstance(event, TimerFired):
            self._timer_fired(now, event.scheduled_at)
        elif isinstance(event, GossipReceived):
            self._message_received(now, event.message, event.reliable)
        elif event.name in self.others:
            self._process_ended(now, event)
        return self._take_commands()

    def _take_commands(self) -> list[Command]:
        commands, self._commands = self._commands, []
        return commands

    def _schedule_timer(self, at: int) -> None:
        self._timer_at = at
        self._commands.append(ScheduleTimer(at))

    # Timers

    def _timer_fired(self, now: int, scheduled_at: int) -> None:
        if scheduled_at != self._timer_at or self.own_status.state is MemberState.LEFT:
            return
        if now - scheduled_at > PAUSE_THRESHOLD_US:
            self._resume_after_pause(now)
        elif self._probe is not None and not self._probe.is_indirect:
            self._probe_indirectly(now)
        elif self._probe is None and not self._skipped_period and self._is_idle(now):
            self._skipped_period = True
        else:
            self._skipped_period = False
            self._finish_probe(now)
            self._confirm_suspicions(now)
            self._end_pause_recovery()
            self._start_probe(now)
        awaits_direct_answer = self._probe is not None and not self._probe.is_indirect
        wait = (PROBE_TIMEOUT_US if awaits_direct_answer else PROBE_PERIOD_US - PROBE_TIMEOUT_US) * (
            1 + self.health_penalty
        )
        self._schedule_timer(now + wait)

    def _is_idle(self, now: int) -> bool:
        """Return whether there are no updates to send and no suspicions to check.

        If not idle, a gateway sends thirteen messages a second; filled with what the receivers already know,
        they would cost one and a half times the bytes that all control traffic may use. The price is that a
        failure meets its first probe later, by up to a period divided by the number of gateways that probe.
        """
        busy = (
            self._pending_updates
            or self._suspected
            or self.health_penalty
            or self._heard_since_pause is not None
        )
        return not busy and now >= self._diverged_until

    def _resume_after_pause(self, now: int) -> None:
        """Record that this process was paused and does not know what the others did meanwhile.

        Without this, a gateway that was stopped for a while would believe that all others had gone silent,
        suspect them, and support suspicions of others. It drops the probe that spans the pause and hears from
        the others first.
        """
        self._probe, self._heard_since_pause, self._periods_since_pause = None, set(), 0
        self.health_penalty = min(MAX_HEALTH_PENALTY, self.health_penalty + 1)
        for member in self.others.values():
            if member.liveness is Liveness.SILENT:
                member.observers.discard(self.name)
                member.since = now
        self._commands.append(OperatorNotice("stood_still"))

    def _end_pause_recovery(self) -> None:
        """End the recovery from a pause once enough members were heard, or if there are none."""
        if self._heard_since_pause is None:
            return
        self._periods_since_pause += 1
        half = (len(self.others) + 1) // 2  # with this gateway, more than half
        if len(self._heard_since_pause) >= min(half, MIN_HEARD_AFTER_PAUSE):
            self._heard_since_pause = None

    def _finish_probe(self, now: int) -> None:
        """Evaluate the current probe, which nobody answered."""
        probe, self._probe = self._probe, None
        if probe is None:
            return
        member = self.others[probe.target]
        member.direct_answers = 0
        if probe.helpers and not probe.nacks:
            # not even a NACK: the fault may be on this machine
            self.health_penalty = min(MAX_HEALTH_PENALTY, self.health_penalty + 1)
        if self._heard_since_pause is not None and self._periods_since_pause < 3:
            return  # just paused or started
        heard = member.heard_at is not None and member.heard_at >= probe.sent_at
        member.path = PathState.OUTBOUND_BROKEN if heard else PathState.BROKEN
        if not heard and member.status.state in (MemberState.ALIVE, MemberState.SUSPECTED):
            self._record_suspicion(
                now, member, replace(member.status, state=MemberState.SUSPECTED), self.name
            )

    def _record_suspicion(self, now: int, member: Member, status: MemberStatus, observer: str) -> None:
        """Record that an observer cannot reach a member."""
        if status < member.status:
            return
        if status > member.status:
            member.observers = set()
            self._set_status(now, member, status, Liveness.SILENT)
            if self._random.random() * len(self.others) < EARLY_PROBERS:
                self._probe_next.append(member.name)
        if observer not in ("", member.name, *member.observers) and len(member.observers) < MIN_OBSERVERS:
            member.observers.add(observer)
            self._pending_updates[member.name] = self._agreeing_messages = 0

    def _confirm_suspicions(self, now: int) -> None:
        """Mark as unreachable the members that enough observers have suspected for long enough."""
        alive = 1 + len(self.others) - len(self._suspected) - len(self._not_present)
        if self._heard_since_pause is not None:
            return
        for member in [self.others[each] for each in self._suspected]:
            if len(member.observers) >= min(MIN_OBSERVERS, alive):
                if now - member.since >= SUSPICION_US * (1 + self.health_penalty):
                    status = replace(member.status, state=MemberState.UNREACHABLE)
                    self._set_status(now, member, status, Liveness.CONFIRMED)

    # Probes

    def _start_probe(self, now: int) -> None:
        target = self._choose_target()
        if target is None:
            return
        self._probe_number += 1
        self._probe = _Probe(target, self._probe_number, now)
        self._send(now, target, GossipKind.PING, self._probe_number)
        for number in [n for n, (_, _, at) in self._relayed_probes.items() if now - at > 2 * PROBE_PERIOD_US]:
            del self._relayed_probes[number]

    def _choose_target(self) -> str | None:
        """Choose the member to probe: those suspected by others first, then all in a shuffled round robin."""
        while self._probe_next:
            name = self._probe_next.popleft()
            if self.others[name].status.state is MemberState.SUSPECTED:
                return name
        absent, never_heard = (
            self._not_present,
            self._never_heard if self._probe_number <= len(self.others) else {},
        )
        if absent:
            probability = 1.0 if never_heard else LOST_PROBES_PER_PERIOD * len(absent) / len(self.others)
            # random instead of counted: all gateways learned of the loss together and would probe it together
            probe_lost = self._random.random() < min(1 / LOST_PROBE_INTERVAL, probability)
            if probe_lost or len(absent) == len(self.others):
                return self._random.choice(tuple(never_heard or absent))
        while self._probe_order:
            name = self._probe_order.pop()
            if self._is_present(self.others[name]):
                return name
        self._probe_order = [each.name for each in self.others.values() if self._is_present(each)]
        self._random.shuffle(self._probe_order)
        return self._probe_order.pop() if self._probe_order else None

    @staticmethod
    def _is_present(member: Member) -> bool:
        return member.status.state in (MemberState.ALIVE, MemberState.SUSPECTED)

    def _probe_indirectly(self, now: int) -> None:
        """Continue an unanswered probe through other gateways, and over TCP, which recovers lost packets."""
        probe = self._probe
        if probe is None:
            return
        probe.is_indirect = True
        candidates = [
            n for n, m in self.others.items() if m.status.state is MemberState.ALIVE and n != probe.target
        ]
        probe.helpers = tuple(self._random.sample(candidates, min(INDIRECT_PROBES, len(candidates))))
        for helper in probe.helpers:
            self._send(now, helper, GossipKind.PING_REQUEST, probe.number, probe.target)
        self._send(now, probe.target, GossipKind.PING, probe.number, self.name, reliable=True)

    def _probe_answered(self, now: int, sender: str, message: GossipMessage, reliable: bool) -> None:
        relay = self._relayed_probes.pop(message.probe_number, None)
        if relay is not None:
            requester, number, _ = relay
            self._send(now, requester, GossipKind.ACK, number, sender, message.heard_ms_ago)
            return
        probe = self._probe
        if probe is None or message.probe_number != probe.number:
            return
        if message.kind == GossipKind.NACK:
            probe.nacks += 1
            return
        if sender != probe.target and message.subject != probe.target:
            return
        self._probe = None
        member = self.others[probe.target]
        self.health_penalty = max(0, self.health_penalty - 1)
        if sender == probe.target and not reliable:
            member.direct_answers += 1
            if member.direct_answers >= ANSWERS_TO_RECOVER_PATH:
                member.path = PathState.WORKING
            return
        member.direct_answers = 0
        # whether the target received the probe, so that only its answer was lost
        probe_arrived = 0 <= message.heard_ms_ago * MS <= now - probe.sent_at + PROBE_TIMEOUT_US
        member.path = PathState.INBOUND_BROKEN if probe_arrived else PathState.OUTBOUND_BROKEN
        if not probe_arrived and (
            member.datagram_at is None or now - member.datagram_at > self._full_round_us()
        ):
            member.path = PathState.BROKEN

    def _full_round_us(self) -> int:
        """Return the time in which every other gateway probes this one once, in µs."""
        return 2 * PROBE_PERIOD_US * (len(self.others) + 1)

    # Messages

    def _send(
        self,
        now: int,
        to: str,
        kind: GossipKind,
        probe_number: int = 0,
        subject: str = "",
        heard_ms_ago: int = -1,
        reliable: bool = False,
        answered: GossipMessage | None = None,  # the message that this one answers
    ) -> None:
        self.messages_sent += 1
        own, answers_no_probe = self.own_status, kind == GossipKind.ACK and not probe_number
        updates = () if answers_no_probe else self._choose_updates(now, to, kind, probe_number)
        fields = (
            kind,
            self.name,
            own.generation,
            own.incarnation,
            self.messages_sent,
            probe_number,
            subject,
            heard_ms_ago,
            updates,
            self._address,
        )
        message = GossipWithDigest(*fields, *self._revision_fields(now, to, kind, answered), self._digest)
        self._commands.append(SendGossip(to, message, reliable, self.others[to].status.generation, now))

    def _revision_fields(self, now: int, to: str, kind: GossipKind, answered: GossipMessage | None) -> tuple:
        """Return the fields that announce the active revision and carry deltas that the receiver lacks."""
        gossip, peer_summary = self.revision_gossip, revision_summary_of(answered)
        if gossip is None or gossip.head is None:
            return NO_REVISION
        if peer_summary is None and (kind != GossipKind.PING or not gossip.should_announce(now)):
            return NO_REVISION
        return *gossip.head, gossip.deltas_for(now, to, peer_summary) if peer_summary else ()

    def _choose_updates(
        self, now: int, to: str, kind: GossipKind, probe_number: int
    ) -> tuple[MemberUpdate, ...]:
        """Choose updates to send: what others report of the receiver, then the newest, then all in turn.

        Old updates go out only while digests differed recently. An answer's old updates start at a position
        derived from the probe number, so that a gateway that probes one after the other receives each of them
        once. If every sender started at its own cursor, a newly started gateway would receive some updates
        again and again and the last ones late.
        """
        names: dict[str, None] = {}
        if self.others[to].liveness is not Liveness.HEARD and self.others[to].status.generation:
            names[to] = None
        transmissions = RETRANSMIT_FACTOR * math.ceil(math.log2(len(self.others) + 2))
        for name in heapq.nsmallest(
            MAX_UPDATES - len(names), self._pending_updates, key=self._pending_updates.__getitem__
        ):
            names[name] = None
            self._pending_updates[name] += 1
            if self._pending_updates[name] >= transmissions:
                del self._pending_updates[name]
        all_names = self._names
        cursor = probe_number * UPDATE_STRIDE if kind == GossipKind.ACK else self._update_cursor
        for _ in range(min(len(all_names), MAX_UPDATES - len(names)) if now < self._diverged_until else 0):
            cursor = (cursor + 1) % len(all_names)
            names[all_names[cursor]] = None
        if kind != GossipKind.ACK:
            self._update_cursor = cursor
        chosen = [self.others[name] for name in names if self.others[name].status.generation]
        return tuple(
            MemberUpdate(
                m.name,
                m.status.generation,
                m.status.incarnation,
                m.status.state,
                self._pick_observer(m),
                m.address,
            )
            for m in chosen
        )

    def _pick_observer(self, member: Member) -> str:
        if member.status.state is not MemberState.SUSPECTED or not member.observers:
            return ""
        return self._random.choice(sorted(member.observers))

    def _message_received(self, now: int, message: GossipMessage, reliable: bool) -> None:
        if message.sender == self.name and message.generation > self.own_status.generation:
            self._disqualify("a later process has this gateway's name")
        member = self.others.get(message.sender)
        if member is None:
            self.dropped["foreign"] += message.sender != self.name
            return
        if message.generation < member.status.generation:
            self.dropped["old"] += 1
            return
        if not member.replay_window.accept(message.generation, message.sequence):
            self.dropped["doubled"] += 1
            return
        self._update_address(member, message.generation, message.address)
        member.heard_at = now
        member.observers.discard(self.name)
        if not reliable:
            member.datagram_at = now
        if self._heard_since_pause is not None:
            self._heard_since_pause.add(member.name)
        state = MemberState.LEFT if message.kind == GossipKind.LEAVE else MemberState.ALIVE
        self._apply_status(now, member, MemberStatus(message.generation, message.incarnation, state), "")
        summary = revision_summary_of(message)
        if self.revision_gossip is not None and summary is not None:
            member.revision, deltas = summary, message.deltas if isinstance(message, GossipWithDeltas) else ()
            self._commands.append(
                RevisionAnnounced(member.name, *summary, deltas, message.kind == GossipKind.PING)
            )
        for update in message.updates:
            self._apply_update(now, update)
        self._compare_digest(now, message)
        if message.kind == GossipKind.PING:
            subject = self.others.get(message.subject)
            heard_ms_ago = (
                -1 if subject is None or subject.datagram_at is None else (now - subject.datagram_at) // MS
            )
            self._send(
                now,
                member.name,
                GossipKind.ACK,
                message.probe_number,
                message.subject,
                heard_ms_ago,
                reliable,
                message,
            )
        elif message.kind == GossipKind.PING_REQUEST and message.subject in self.others:
            self._relay_probe(now, member.name, message)
        elif message.kind in (GossipKind.ACK, GossipKind.NACK):
            self._probe_answered(now, member.name, message, reliable)
            if self.revision_gossip is not None and self.revision_gossip.should_send_deltas(
                now, member.name, summary
            ):
                # carries deltas, answers no probe
                self._send(now, member.name, GossipKind.ACK, answered=message)

    def _compare_digest(self, now: int, message: GossipMessage) -> None:
        """Compare the sender's digest with this gateway's, after the message's updates were applied.

        A newly started gateway takes all that it learns for new and would send thousands of updates dozens of
        times to gateways that know them. As in Demers' rumour mongering with feedback, it stops after meeting
        only gateways that agree; not during a suspicion, because observers are not part of the digest and
        must spread.
        """
        if isinstance(message, GossipWithDigest) and message.membership_digest == self._digest:
            self._agreeing_messages += 1
            if self._agreeing_messages >= AGREEING_MESSAGES and not self._suspected:
                self._pending_updates.clear()
        else:
            self._agreeing_messages, self._diverged_until = 0, now + DIVERGENCE_US

    def _update_address(self, member: Member, generation: int, address: str) -> None:
        """Store the address of a member's generation.

        With the address of an earlier generation, the machine there would refuse connections, and that would
        be taken as proof that this generation has ended.
        """
        if generation <= member.address_generation:
            return
        member.address_generation = generation
        if address != member.address:
            member.address = address
            self._commands.append(MemberMoved(member.name, address))

    def _relay_probe(self, now: int, requester: str, message: GossipMessage) -> None:
        """Probe on another gateway's behalf; the NACK shows it at once that this gateway is reachable."""
        self._probe_number += 1
        self._relayed_probes[self._probe_number] = requester, message.probe_number, now
        while len(self._relayed_probes) > 4 * len(self.others):
            del self._relayed_probes[next(iter(self._relayed_probes))]
        self._send(now, message.subject, GossipKind.PING, self._probe_number, requester)
        self._send(now, requester, GossipKind.NACK, message.probe_number, message.subject)

    def _apply_update(self, now: int, update: MemberUpdate) -> None:
        """Apply an update that another gateway sent."""
        try:
            status = update.status()
        except ValueError:
            self.dropped["bad state"] += 1
            return
        if update.name == self.name:
            self._apply_own_status(status)
            return
        member = self.others.get(update.name)
        if member is None:
            self.dropped["foreign"] += 1
            return
        self._update_address(member, update.generation, update.address)
        self._apply_status(now, member, status, update.observer)

    def _apply_own_status(self, claimed: MemberStatus) -> None:
        if claimed.generation > self.own_status.generation:
            self._disqualify("a later process has this gateway's name")
        elif (
            claimed.generation == self.own_status.generation
            and claimed.state is MemberState.DEAD
            and claimed > self.own_status
        ):
            self._disqualify("the other gateways consider this process dead")
        refuted = refute(self.own_status, claimed)
        if self.own_status.state is not MemberState.LEFT and refuted != self.own_status:
            self._digest ^= hash_status(self.name, self.own_status) ^ hash_status(self.name, refuted)
            self.own_status = refuted
            self.health_penalty = min(MAX_HEALTH_PENALTY, self.health_penalty + 1)

    def _disqualify(self, reason: str) -> None:
        if not self.disqualified_reason:
            self.disqualified_reason = reason
            self._commands.append(OperatorNotice("condemned", reason))

    def _apply_status(self, now: int, member: Member, status: MemberStatus, observer: str) -> None:
        if status.state is MemberState.SUSPECTED:
            self._record_suspicion(now, member, status, observer)
            return
        if merge_status(member.status, status) == member.status:
            return
        liveness = {
            MemberState.ALIVE: Liveness.HEARD,
            MemberState.UNREACHABLE: Liveness.CONFIRMED,
            MemberState.LEFT: Liveness.LEFT,
            MemberState.DEAD: Liveness.REFUSED,
        }
        self._set_status(now, member, status, liveness[status.state])

    # Status

    def _process_ended(self, now: int, event: ConnectionRefused | ForgetMember) -> None:
        """Apply proof that a process has ended.

        A refused connection counts against the generation that was known when the message was sent, and only
        if nothing was heard from it since: a refusal may arrive late, when the next process already answers.
        """
        member = self.others[event.name]
        if member.status.state is MemberState.DEAD:
            return
        is_ordered = isinstance(event, ForgetMember)
        status = replace(member.status, state=MemberState.DEAD)
        if isinstance(event, ForgetMember) and event.generation:
            if event.generation < member.status.generation:
                return  # a later generation has been seen since
            status = MemberStatus(event.generation, member.status.incarnation, MemberState.DEAD)
        if isinstance(event, ConnectionRefused):
            status = apply_refusal(member.status, event.generation)
            if status == member.status or (member.heard_at is not None and member.heard_at >= event.sent_at):
                return
        if self._probe is not None and self._probe.target == member.name:
            self._probe = None
        self._set_status(now, member, status, Liveness.ORDER if is_ordered else Liveness.REFUSED)

    def _set_status(self, now: int, member: Member, status: MemberStatus, liveness: Liveness) -> None:
        before = member.status
        changed = liveness is not member.liveness or status.generation != before.generation
        member.status, member.liveness = status, liveness
        self._digest ^= hash_status(member.name, before) ^ hash_status(member.name, status)
        self._suspected.pop(member.name, None)
        self._not_present.pop(member.name, None)
        self._never_heard.pop(member.name, None)
        if not self._is_present(member):
            self._not_present[member.name] = None
        elif status.state is MemberState.SUSPECTED:
            self._suspected[member.name] = None
        self._pending_updates[member.name] = self._agreeing_messages = 0
        if changed:
            member.since = now
            self._commands.append(
                MemberChanged(member.name, liveness, status.generation, tuple(sorted(member.observers)))
            )
