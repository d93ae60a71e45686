"""Resource usage and run times of templates, learnt from usage reports."""

from turmerichall import resources

__all__ = ["LearntSizes"]

MIN_SAMPLES = 4
SMOOTHING = 0.08
MEMORY_DECAY = 0.002
# A learnt number of processors or amount of memory replaces the declared one
# only if it is at least this many times as large.
NOTICEABLE_RATIO = 1.15
RUN_SMOOTHING = 0.15


class TemplateStats:
    """Running statistics of the tasks of one template.

    Attributes:
        samples: Number of measurements.
        processors: Exponentially smoothed number of processors in use.
        deviation: Smoothed absolute deviation from `processors`.
        memory_mb: Peak memory in use, in MiB; it is lowered slowly while less
            is in use.
        run_ratio: Smoothed ratio of measured to declared run time.
        run_error: Smoothed absolute error of `run_ratio` as a prediction,
            relative to the measured ratio.
        runs: Number of finished attempts whose run time was measured.
    """

    def __init__(self) -> None:
        self.samples = 0
        self.processors = 0.0
        self.deviation = 0.0
        self.memory_mb = 0.0
        self.run_ratio = 1.0
        self.run_error = 0.5
        self.runs = 0

    def add_measurement(self, usage: resources.Resources) -> None:
        """Add the measured usage of a task that is not throttled."""
        self.samples += 1
        step = max(SMOOTHING, 1 / self.samples)
        error = usage.processors - self.processors
        self.processors += step * error
        if self.samples > 1:
            self.deviation += step * (abs(error) - self.deviation)
        self.memory_mb = max(
            float(usage.memory_mb), self.memory_mb * (1 - MEMORY_DECAY)
        )

    def add_run_time(self, ratio: float) -> None:
        """Add the ratio of measured to declared run time of one attempt."""
        self.runs += 1
        error = abs(ratio - self.run_ratio) / max(ratio, 0.01)
        step = max(RUN_SMOOTHING, 1 / self.runs)
        self.run_ratio += step * (ratio - self.run_ratio)
        self.run_error += step * (error - self.run_error)


class LearntSizes:
    """Learnt sizes and run times of all templates.

    Attributes:
        templates: Statistics by name of the template.
        largest: For each resource, the largest capacity of any worker; it
            limits learnt sizes.
    """

    def __init__(self) -> None:
        self.templates: dict[str, TemplateStats] = {}
        self.largest = resources.ZERO

    def stats_of(self, template: str) -> TemplateStats:
        """Return the statistics of a template, creating them if needed."""
        found = self.templates.get(template)
        if found is None:
            found = self.templates[template] = TemplateStats()
        return found

    def size(
        self, template: str, declared: resources.Resources
    ) -> resources.Resources:
        """Return the larger of declared and learnt size, for each resource."""
        stats = self.templates.get(template)
        if stats is None or stats.samples < MIN_SAMPLES:
            return declared
        processors = stats.processors + 2 * stats.deviation
        if processors < NOTICEABLE_RATIO * declared.processors:
            processors = declared.processors
        memory = stats.memory_mb
        if memory < NOTICEABLE_RATIO * declared.memory_mb:
            memory = declared.memory_mb
        return resources.Resources(
            max(declared.processors, min(processors, self.largest.processors)),
            max(declared.memory_mb, min(int(memory), self.largest.memory_mb)),
            declared.accelerators,
        )

    def expected_use(
        self, template: str, declared: resources.Resources
    ) -> float:
        """Return the number of processors that a task is expected to use."""
        stats = self.templates.get(template)
        if stats is None or stats.samples < MIN_SAMPLES:
            return declared.processors
        return stats.processors

    def run_seconds(self, template: str, declared: float) -> float:
        """Return the expected run time of a batch task, in seconds."""
        stats = self.templates.get(template)
        return declared if stats is None else declared * stats.run_ratio
