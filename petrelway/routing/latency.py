"""Measurement of executors by their answers: service-time factors, error rates and outliers.

A service-time factor is an answer's latency divided by its request's cost estimate. Each machine type has a
baseline for it. An executor far above its baseline is an outlier: it gets few requests and is measured
again. Mixed into `router.FrontEnd`, whose `attempt_ended` supplies the answers.
"""

from __future__ import annotations

import math

from .claims import answered_cost
from .concurrency import ConcurrencyLimits
from .state import Executor, FunctionState, Request

FACTOR_GAIN = 0.15  # weight of one answer, clipped at CLIP_FACTOR, in a service-time factor ...
OUTLIER_GAIN = 0.5  # ... and its weight for an outlier, which is to be measured again quickly
FACTOR_SPAN_MS = 30000.0  # time constant with which a factor decays to its baseline
BASELINE_RISE = 0.003  # a slower answer raises its machine type's baseline by this share ...
BASELINE_FALL = 0.01  # ... and a faster one lowers it by this share: the baseline follows a low quantile
BASELINE_MIN = 1e-3  # it grows by shares of itself: from 0 it would never rise again
MEDIAN_STEP = 0.003  # an answer moves the median of answer times up or down by this share
CLIP_FACTOR = 4.0  # one costly request counts as at most this many times the present value
UNKNOWN_COST_MS = 200.0  # assumed cost of a request before any answer or hint
MEAN_GAIN = 0.02  # weight of one request in the means over all of them
PENALTY_FACTOR = 1.7  # a failure multiplies a service-time factor by this
OUTLIER_FACTOR = 8.0  # times the baseline: an outlier, and about as slow as failures make an executor look
ERROR_RATE_GAIN = 0.15  # weight of one answer in an executor's error rate for a request class
ERROR_RATE_SPAN_MS = 5000.0  # time constant of an error rate's decay, so that the executor is tried again
PROCESS_PAUSE_MS = 100.0  # a wake-up this late means that the front end itself was paused


class LatencyTracking(ConcurrencyLimits):
    """The factors, rates and means that are updated by answers."""

    def service_time_factor(self, executor: Executor, now: float) -> float:
        """Return the expected ratio of latency to cost at an executor.

        A measured value decays to the machine type's baseline, which also applies to an executor without a
        measurement.
        """
        baseline = self._baseline(executor)
        measured = executor.service_time_factor
        if not measured:
            return baseline
        return baseline + (measured - baseline) * math.exp((executor.measured_ms - now) / FACTOR_SPAN_MS)

    def _baseline(self, executor: Executor) -> float:
        """Return the baseline of the executor's machine type; 1 before any answer."""
        return self.service_time_baselines.get(executor.endpoint.machine, 1.0)

    def error_rate(self, executor: Executor, request_class: int, now: float) -> float:
        """Return the share of errors in an executor's answers to this request class, decayed by its age."""
        rate, at = executor.error_rates.get(request_class, (0.0, now))
        return rate * math.exp((at - now) / ERROR_RATE_SPAN_MS)

    def _record_error(self, executor: Executor, request_class: int, failed: bool, now: float) -> None:
        rate = self.error_rate(executor, request_class, now)
        executor.error_rates[request_class] = rate + ERROR_RATE_GAIN * (failed - rate), now

    def _penalize(self, executor: Executor, now: float) -> None:
        """Count a failure of an executor (no answer, an error or no connection) as a slow answer.

        A single failure proves little, since a load or a costly request looks the same.
        """
        baseline = self._baseline(executor)
        most = PENALTY_FACTOR * OUTLIER_FACTOR * baseline
        factor = min(PENALTY_FACTOR * self.service_time_factor(executor, now), most)
        executor.service_time_factor = factor
        executor.measured_ms = now

    def _in_process_pause(self, now: float) -> bool:
        """Return whether this process itself was paused until now.

        Times measured across such a pause say nothing about executors.
        """
        if now > self.next_wake_ms + PROCESS_PAUSE_MS:
            self.process_pause_ms = now
        return self.process_pause_ms == now

    def _record_latency(self, executor: Executor, request: Request, took_ms: float, now: float) -> None:
        """Update the measurements by the time of an answer that waited for no load."""
        baseline = self._measure_executor(executor, request, took_ms, now)
        self._adjust_executor_limit(executor, request, now)
        self._adjust_own_limit(request, took_ms, baseline, now)
        self._record_answer_time(request.function, took_ms)
        if not self.gate.is_warming_up(executor, now):
            machine_type = executor.endpoint.machine
            self.gate.record_success(machine_type, self.warm_executors.get(machine_type, 0), now)

    def _measure_executor(self, executor: Executor, request: Request, took_ms: float, now: float) -> float:
        """Update the executor's service-time factor and its machine type's baseline.

        Returns the baseline before the update.
        """
        machine_type = executor.endpoint.machine
        cost_ms = answered_cost(request, took_ms, self._baseline(executor), self.mean_ms)
        factor = took_ms / max(1.0, cost_ms)
        baseline = self.service_time_baselines.setdefault(machine_type, max(factor, BASELINE_MIN))
        step = BASELINE_RISE if factor > baseline else -BASELINE_FALL
        self.service_time_baselines[machine_type] = max(baseline * (1.0 + step), BASELINE_MIN)
        if executor.service_time_factor:
            known = self.service_time_factor(executor, now)
        else:
            known = min(factor, CLIP_FACTOR * baseline)
        gain = FACTOR_GAIN if known < OUTLIER_FACTOR * baseline else OUTLIER_GAIN
        # Most of a short request's time is not spent on its work: a plain mean of ratios would make all
        # executors look saturated.
        weight = min(CLIP_FACTOR, cost_ms / self.mean_cost_ms)
        known += min(1.0, gain * weight) * (min(factor, known * CLIP_FACTOR) - known)
        executor.service_time_factor = known
        executor.measured_ms = now
        return baseline

    def _record_answer_time(self, function: FunctionState, took_ms: float) -> None:
        """Update the means of the function and of all answers, and the median."""
        took = min(took_ms, CLIP_FACTOR * (function.mean_ms or self.mean_ms))
        if function.mean_ms:
            function.mean_ms = function.mean_ms + FACTOR_GAIN * (took - function.mean_ms)
        else:
            function.mean_ms = took
        self.mean_ms += MEAN_GAIN * (took - self.mean_ms)
        self.median_ms *= 1.0 + (MEDIAN_STEP if took_ms > self.median_ms else -MEDIAN_STEP)
