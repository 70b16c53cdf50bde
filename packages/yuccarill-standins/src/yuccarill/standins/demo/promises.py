"""Check each promise of the system against the records of a run."""

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

# Grace period after which a removed target gets no new work.
LEAVING_SECONDS = 3.0
# Deadline for an accepted change to be in force at all instances.
IN_FORCE_SECONDS = 3.0
SAMPLES_PER_STEP = trainer_module.GROUPS * trainer_module.SAMPLES_PER_GROUP


class PromiseResult(msgspec.Struct, frozen=True):
    """Whether one promise held, with the counts that show it."""

    promise: str
    is_held: bool
    counted: str


class Promises:
    """Check the promises, each in its own method.

    A promise without any observation counts as broken, not as held.
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

    def results(self) -> Iterator[PromiseResult]:
        """Yield the result of each promise."""
        yield self._check_attribution()
        yield self._check_staleness()
        yield self._check_delivered_once()
        yield self._check_own_answers()
        yield self._check_not_run()
        yield self._check_at_most_once()
        yield self._check_leaving_target()
        yield self._check_planned_stop()
        yield self._check_in_force()

    def _check_attribution(self) -> PromiseResult:
        samples = list(self._samples())
        wrong = [s for s in samples if not self._is_attributed(*s)]
        mixed = sum(len(s['spans']) > 1 for _, s in samples)
        return PromiseResult(
            'Every sample names the weight versions that produced it',
            bool(samples) and not wrong,
            f'{len(samples)} samples, {mixed} of several versions, '
            f'{len(wrong)} wrong',
        )

    def _check_staleness(self) -> PromiseResult:
        lags = [
            step.newest_version - span['weight_version']
            for step, sample in self._samples()
            for span in sample['spans']
        ]
        bound = self._trainer.staleness_bound
        changed = sum(step.published_within for step in self._trainer.steps)
        oldest = max(lags, default=0)
        return PromiseResult(
            'No sample is older than the staleness bound',
            bool(lags) and changed > 0 and oldest <= bound,
            f'oldest {oldest} versions behind, bound {bound}, '
            f'{changed} changes within steps',
        )

    def _check_delivered_once(self) -> PromiseResult:
        steps = self._trainer.steps
        ids = [sample['id'] for _, sample in self._samples()]
        duplicates = len(ids) - len(set(ids))
        asked = len(steps) * SAMPLES_PER_STEP
        same = sum(step.is_refetch_same for step in steps)
        closed = sum(step.is_acknowledged for step in steps)
        is_held = (
            bool(steps)
            and not duplicates
            and len(ids) == asked
            and same == closed == len(steps)
        )
        return PromiseResult(
            'Every sample is delivered to its trainer exactly once',
            is_held,
            f'{len(steps)} steps, {asked} samples requested, {len(ids)} '
            f'delivered, {duplicates} duplicates, {asked - len(ids)} lost, '
            f'{len(steps) - same} steps differ when fetched again, '
            f'{len(steps) - closed} not acknowledged',
        )

    def _check_own_answers(self) -> PromiseResult:
        count = self._callers.count
        asked = len(self._callers.asks)
        wrong = count(records.Outcome.WRONG)
        lost = count(records.Outcome.LOST)
        refused = count(records.Outcome.REFUSED)
        answered = count(records.Outcome.ANSWERED)
        unsettled = asked - answered - wrong - lost - refused
        return PromiseResult(
            'Every caller receives the whole answer to its own request',
            answered > 0 and not wrong and not lost and not refused,
            f'{asked} requests, {answered} answered, {unsettled} not run or '
            f'of unknown outcome, {wrong} wrong, {lost} lost, '
            f'{refused} refused otherwise',
        )

    def _check_not_run(self) -> PromiseResult:
        refused = [
            ask
            for ask in self._callers.asks
            if any(attempt.is_not_run for attempt in ask.attempts)
        ]
        ran = [ask for ask in refused if self._ran_although_refused(ask)]
        return PromiseResult(
            'A request refused as "not run" did not run',
            bool(refused) and not ran,
            f'{len(refused)} refused as not run, {len(ran)} of them ran',
        )

    def _check_at_most_once(self) -> PromiseResult:
        asks = self._callers.of_kind(records.Kind.ONCE)
        runs = [
            len(self._evidence.runs_by_request.get(ask.request_id, []))
            for ask in asks
        ]
        unknown = self._callers.count(
            records.Outcome.UNKNOWN, records.Kind.ONCE
        )
        sent = sum(len(ask.attempts) for ask in asks)
        duplicates = sum(count > 1 for count in runs)
        return PromiseResult(
            'A request that may not be repeated runs at most once',
            sum(runs) > 0 and sent > len(asks) and not duplicates,
            f'{len(asks)} requests, sent {sent} times, {sum(runs)} runs, '
            f'{duplicates} ran more than once, {unknown} of unknown outcome',
        )

    def _check_leaving_target(self) -> PromiseResult:
        accepted_at = self._faults.accepted_at
        before, late = 0, 0
        for name in self._faults.removed:
            received = self._evidence.received_by_target[name]
            before += sum(at < accepted_at for at in received)
            late += sum(at > accepted_at + LEAVING_SECONDS for at in received)
        return PromiseResult(
            'A leaving target receives no new work after a few seconds',
            before > 0 and not late,
            f'{before} requests before the removal, {late} later than '
            f'{LEAVING_SECONDS:.0f} s after the removal',
        )

    def _check_planned_stop(self) -> PromiseResult:
        faults = self._faults
        address = self._watch.address_of(faults.stopped)
        attempts = [
            attempt
            for attempt in self._callers.attempts()
            if attempt.address == address
            and attempt.ended_at >= faults.stopped_at
        ]
        cut = sum(attempt.is_cut for attempt in attempts)
        refused = sum(attempt.is_unreachable for attempt in attempts)
        seconds = faults.exited_at - faults.stopped_at
        return PromiseResult(
            'A planned stop cuts off no request in flight',
            bool(attempts) and not cut and not refused,
            f'{len(attempts)} requests after the signal, {cut} cut, {refused} '
            f'without a connection, exit after {seconds:.1f} s',
        )

    def _check_in_force(self) -> PromiseResult:
        faults = self._faults
        gone = {faults.killed, faults.stopped}
        live = set(self._watch.revision_by_id) - gone
        seconds = self._watch.seconds_until(
            faults.revision, faults.apply_begun_at, live
        )
        delay = 'never' if seconds is None else f'{seconds:.2f} s'
        return PromiseResult(
            'An accepted configuration is in force and never reverts',
            seconds is not None
            and seconds <= IN_FORCE_SECONDS
            and not self._watch.reverts,
            f'on all {len(live)} instances {delay} after the command started, '
            f'{self._watch.reverts} reverts in {self._watch.polls} polls',
        )

    def _samples(self) -> Iterator[tuple[StepRecord, dict[str, Any]]]:
        for step in self._trainer.steps:
            for sample in step.samples:
                yield step, sample

    def _is_attributed(self, step: StepRecord, sample: Any) -> bool:
        prompt = f'{self._trainer.id} step {step.step} group {sample["group"]}'
        seeds = self._evidence.seeds_by_prompt.get(prompt, set())
        return any(_has_tokens_of(prompt, seed, sample) for seed in seeds)

    def _ran_although_refused(self, ask: Ask) -> bool:
        runs = self._evidence.runs_by_request.get(ask.request_id, [])
        if ask.outcome is records.Outcome.NOT_RUN:
            return bool(runs)
        # A later attempt may run; a run before the refusal breaks the promise.
        refused_at = max(a.ended_at for a in ask.attempts if a.is_not_run)
        return any(run['run_at'] < refused_at for run in runs)


def _has_tokens_of(prompt: str, seed: int, sample: Any) -> bool:
    position = 0
    for span in sample['spans']:
        end = position + len(span['tokens'])
        expected = tokens.generate(
            prompt, seed, span['weight_version'], range(position, end)
        )
        if expected != span['tokens']:
            return False
        position = end
    return position == trainer_module.MAX_TOKENS
