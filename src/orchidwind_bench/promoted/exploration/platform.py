"""The platform of the model: it promotes whom a promotion call names, some time later."""

from __future__ import annotations

from dataclasses import dataclass

from orchidwind.promoted.core.failover_steps import PromotionAnswer
from orchidwind_bench.promoted.exploration.checks import Checks
from orchidwind_bench.promoted.exploration.choices import Choices
from orchidwind_bench.promoted.exploration.instances import ModelGroup
from orchidwind_bench.promoted.exploration.network import WAY_SECONDS
from orchidwind_bench.promoted.exploration.timeline import Answers, Timeline
from orchidwind_bench.promoted.exploration.trace import Trace


@dataclass(frozen=True, slots=True)
class _Fate:
    """What becomes of a promotion call.

    `effect_seconds` after its arrival it takes effect, None: never. First users: some hundred ms.
    """

    answered: bool
    effect_seconds: float | None


_FATES = {
    "answered": _Fate(True, 0.3),
    "early": _Fate(True, 0.2),
    "late": _Fate(True, 0.5),
    "very late": _Fate(True, 1.0),
    "answer lost": _Fate(False, 0.3),
    "answer lost and very late": _Fate(False, 1.0),
    "not done": _Fate(False, None),
}


class ModelPlatform:
    """Takes promotion calls."""

    def __init__(
        self,
        timeline: Timeline,
        choices: Choices,
        group: ModelGroup,
        checks: Checks,
        trace: Trace,
    ) -> None:
        self._timeline = timeline
        self._choices = choices
        self._group = group
        self._checks = checks
        self._trace = trace
        self._newest_token = 0
        # Whether a token below the newest one is refused; the first users have both kinds.
        fencing = choices.pick("platform", "fencing", ("ignored", "required"))
        self._looks_at_fences = fencing == "required"

    def promote(self, holder: str, instance: str, token: int, answers: Answers) -> None:
        """A proxy calls; the answer is put into `answers`."""
        name = self._choices.pick("promotion", holder, tuple(_FATES))
        fate = _FATES[name]
        self._trace.note(f"{holder} calls the promotion of {instance}, token {token}: {name}")

        def arrive() -> None:
            old = token < self._newest_token
            self._newest_token = max(self._newest_token, token)
            if old and self._looks_at_fences:
                answer = PromotionAnswer.REFUSED
            else:
                self._checks.promoted(self._timeline.now, holder, token)
                answer = self._carry_out(instance, fate)
            if fate.answered:
                self._timeline.after(WAY_SECONDS, lambda: answers.deliver("answer", answer))

        self._timeline.after(WAY_SECONDS, arrive)

    def _carry_out(self, instance: str, fate: _Fate) -> PromotionAnswer:
        if fate.effect_seconds is None:
            return PromotionAnswer.ACCEPTED
        done = self._group.promote(instance, fate.effect_seconds)
        return PromotionAnswer.ACCEPTED if done else PromotionAnswer.REFUSED
