"""Hold what was counted against each promise of the brief."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import msgspec

from yuccarill.standins.demo import records
from yuccarill.standins.demo import trainer as trainer_module
from yuccarill.standins import tokens

if TYPE_CHECKING:
    from collections.abc import Iterator

    from yuccarill.standins.demo.evidence import Evidence
    from yuccarill.standins.demo.faults import FaultRecords
    from yuccarill.standins.demo.records import Ask
    from yuccarill.standins.demo.records import CallerRecords
    from yuccarill.standins.demo.trainer import StepRecord
    from yuccarill.standins.demo.trainer import Trainer
    from yuccarill.standins.demo.watch import RevisionWatch

# Seconds after which a target that was removed gets no new work.
LEAVING_SECONDS = 3.0
# Seconds after which an accepted change is in force everywhere.
IN_FORCE_SECONDS = 3.0
SAMPLES_PER_STEP = trainer_module.GROUPS * trainer_module.SAMPLES_PER_GROUP


class Line(msgspec.Struct, frozen=True):
    """Say whether one promise held, and by what count."""

    promise: str
    is_held: bool
    counted: str


class Promises:
    """Count, one method a promise.

    A line of which nothing was counted does not hold: it shows nothing.
    """

    def __init__(
        self,
        callers: CallerRecords,
        trainer: Trainer,
        faults: FaultRecords,
        evidence: Evidence,
        watch: RevisionWatch,
    ) -> None:
        self._callers = callers
        self._trainer = trainer
        self._faults = faults
        self._evidence = evidence
        self._watch = watch

    def lines(self) -> Iterator[Line]:
        """Return the closing table."""
        yield self._attribution()
        yield self._staleness()
        yield self._delivered_once()
        yield self._own_answers()
        yield self._not_run()
        yield self._at_most_once()
        yield self._leaving_target()
        yield self._planned_stop()
        yield self._in_force()

    def _attribution(self) -> Line:
        samples = list(self._samples())
        wrong = [s for s in samples if not self._is_attributed(*s)]
        mixed = sum(len(s['spans']) > 1 for _, s in samples)
        return Line(
            'Every sample names the weight versions that produced it',
            bool(samples) and not wrong,
            f'{len(samples)} samples, {mixed} of several versions, '
            f'{len(wrong)} wrong',
        )

    def _staleness(self) -> Line:
        seen = [
            step.newest_version - span['weight_version']
            for step, sample in self._samples()
            for span in sample['spans']
        ]
        bound = self._trainer.staleness_bound
        changed = sum(step.published_within for step in self._trainer.steps)
        oldest = max(seen, default=0)
        return Line(
            'No sample is older than the staleness bound',
            bool(seen) and changed > 0 and oldest <= bound,
            f'oldest {oldest} versions behind, bound {bound}, '
            f'{changed} changes within steps',
        )

    def _delivered_once(self) -> Line:
        steps = self._trainer.steps
        ids = [sample['id'] for _, sample in self._samples()]
        doubled = len(ids) - len(set(ids))
        asked = len(steps) * SAMPLES_PER_STEP
        same = sum(step.is_refetch_same for step in steps)
        closed = sum(step.is_acknowledged for step in steps)
        is_held = (
            bool(steps)
            and not doubled
            and len(ids) == asked
            and same == closed == len(steps)
        )
        return Line(
            'Every sample is delivered to its trainer exactly once',
            is_held,
            f'{len(steps)} steps, {asked} samples asked, {len(ids)} '
            f'delivered, {doubled} doubled, {asked - len(ids)} lost, '
            f'{len(steps) - same} steps not the same when fetched again, '
            f'{len(steps) - closed} not acknowledged',
        )

    def _own_answers(self) -> Line:
        count = self._callers.count
        asked = len(self._callers.asks)
        wrong = count(records.Outcome.WRONG)
        lost = count(records.Outcome.LOST)
        refused = count(records.Outcome.REFUSED)
        answered = count(records.Outcome.ANSWERED)
        told = asked - answered - wrong - lost - refused
        return Line(
            'Every caller receives the whole answer to its own request',
            answered > 0 and not wrong and not lost and not refused,
            f'{asked} asked, {answered} answered, {told} told that they '
            f'did not run or that it is unknown, {wrong} wrong, {lost} lost, '
            f'{refused} refused otherwise',
        )

    def _not_run(self) -> Line:
        refused = [
            ask
            for ask in self._callers.asks
            if any(attempt.is_not_run for attempt in ask.attempts)
        ]
        ran = [ask for ask in refused if self._ran_although_refused(ask)]
        return Line(
            'A request refused as "not run" did not run',
            bool(refused) and not ran,
            f'{len(refused)} refused as not run, {len(ran)} ran all the same',
        )

    def _at_most_once(self) -> Line:
        asks = self._callers.of_kind(records.Kind.ONCE)
        runs = [
            len(self._evidence.runs_by_request.get(ask.request_id, []))
            for ask in asks
        ]
        unknown = self._callers.count(
            records.Outcome.UNKNOWN, records.Kind.ONCE
        )
        sent = sum(len(ask.attempts) for ask in asks)
        doubled = sum(count > 1 for count in runs)
        return Line(
            'A request that may not be repeated runs at most once',
            sum(runs) > 0 and sent > len(asks) and not doubled,
            f'{len(asks)} asked, sent {sent} times, {sum(runs)} runs, '
            f'{doubled} ran more than once, {unknown} told unknown',
        )

    def _leaving_target(self) -> Line:
        accepted_at = self._faults.accepted_at
        before, late = 0, 0
        for name in self._faults.removed:
            received = self._evidence.received_by_target[name]
            before += sum(at < accepted_at for at in received)
            late += sum(at > accepted_at + LEAVING_SECONDS for at in received)
        return Line(
            'A leaving target receives no new work after a few seconds',
            before > 0 and not late,
            f'{before} requests before it was removed, {late} later than '
            f'{LEAVING_SECONDS:.0f} s after',
        )

    def _planned_stop(self) -> Line:
        faults = self._faults
        address = self._watch.address_of(faults.stopped)
        tries = [
            attempt
            for attempt in self._callers.attempts()
            if attempt.address == address
            and attempt.ended_at >= faults.stopped_at
        ]
        cut = sum(attempt.is_cut for attempt in tries)
        refused = sum(attempt.is_unreachable for attempt in tries)
        seconds = faults.exited_at - faults.stopped_at
        return Line(
            'A planned stop cuts off no request in flight',
            bool(tries) and not cut and not refused,
            f'{len(tries)} requests from the signal on, {cut} cut, '
            f'{refused} found no one, ended after {seconds:.1f} s',
        )

    def _in_force(self) -> Line:
        faults = self._faults
        gone = {faults.killed, faults.stopped}
        live = set(self._watch.revision_by_id) - gone
        seconds = self._watch.seconds_until(
            faults.revision, faults.apply_begun_at, live
        )
        told = 'never' if seconds is None else f'{seconds:.2f} s'
        return Line(
            'An accepted configuration is in force and never reverts',
            seconds is not None
            and seconds <= IN_FORCE_SECONDS
            and not self._watch.reverts,
            f'on all {len(live)} instances {told} after the command began, '
            f'{self._watch.reverts} reverts in {self._watch.looks} looks',
        )

    def _samples(self) -> Iterator[tuple[StepRecord, dict[str, Any]]]:
        for step in self._trainer.steps:
            for sample in step.samples:
                yield step, sample

    def _is_attributed(self, step: StepRecord, sample: Any) -> bool:
        prompt = f'{self._trainer.id} step {step.step} group {sample["group"]}'
        seeds = self._evidence.seeds_by_prompt.get(prompt, set())
        return any(_is_made_by(prompt, seed, sample) for seed in seeds)

    def _ran_although_refused(self, ask: Ask) -> bool:
        runs = self._evidence.runs_by_request.get(ask.request_id, [])
        if ask.outcome is records.Outcome.NOT_RUN:
            return bool(runs)
        # A later try may run; what ran before a refusal may not be denied.
        refused_at = max(a.ended_at for a in ask.attempts if a.is_not_run)
        return any(run['run_at'] < refused_at for run in runs)


def _is_made_by(prompt: str, seed: int, sample: Any) -> bool:
    position = 0
    for span in sample['spans']:
        end = position + len(span['tokens'])
        made = tokens.make(
            prompt, seed, span['weight_version'], range(position, end)
        )
        if made != span['tokens']:
            return False
        position = end
    return position == trainer_module.MAX_TOKENS
