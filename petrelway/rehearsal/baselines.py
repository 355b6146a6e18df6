"""Baselines to measure against, never to serve with: same rules and bookkeeping, another choice."""

from __future__ import annotations

from ..choice import Executor, FrontEnd, Trigger


class RandomChoice(FrontEnd):
    """Any executor that the rules allow."""

    def choose(self, t: Trigger, now: float) -> Executor | None:
        fit = [e for e in self.ready if self._allowed(t, e, now)]
        return self.chance.choice(fit) if fit else None

    def _allowed(self, t: Trigger, e: Executor, now: float) -> bool:
        if any(x.executor is e for x in t.out.values()):
            return False
        return self.gate.send(t, e, len(self.ready), now)


class LeastLoaded(RandomChoice):
    """The executor with the fewest own triggers in flight that the rules allow."""

    def choose(self, t: Trigger, now: float) -> Executor | None:
        fit = [e for e in self.ready if self._allowed(t, e, now)]
        return min(fit, key=lambda e: (len(e.out), self.chance.random())) if fit else None


POLICIES = {"petrelway": FrontEnd, "random": RandomChoice, "least-loaded": LeastLoaded}
