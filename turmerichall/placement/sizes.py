"""Sizes and run times learnt from reports, by template."""

from turmerichall import resources

__all__ = ["LearntSizes"]

MIN_SAMPLES = 4
SMOOTHING = 0.08
MEMORY_DECAY = 0.002
# A learnt size is used only if it is this much above the declared one.
NOTICEABLE_RATIO = 1.15
RUN_SMOOTHING = 0.15


class TemplateStats:
    """What was seen of one template.

    Attributes:
        samples: Measurements taken in.
        processors: Smoothed processors in use.
        deviation: Smoothed absolute deviation from `processors`.
        memory_mb: Highest memory in use, which decays slowly.
        run_ratio: Smoothed run time over the declared one.
        run_error: Smoothed absolute error of `run_ratio`, as a share of it.
        runs: Finished runs taken in.
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
        """Takes in one measurement of an unthrottled task."""
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
        """Takes in the run time of a finished run over the declared one."""
        self.runs += 1
        error = abs(ratio - self.run_ratio) / max(ratio, 0.01)
        step = max(RUN_SMOOTHING, 1 / self.runs)
        self.run_ratio += step * (ratio - self.run_ratio)
        self.run_error += step * (error - self.run_error)


class LearntSizes:
    """Learns sizes and run times of all templates.

    Attributes:
        templates: What was seen, by name.
        largest: Largest worker, which no learnt size exceeds.
    """

    def __init__(self) -> None:
        self.templates: dict[str, TemplateStats] = {}
        self.largest = resources.NOTHING

    def stats_of(self, template: str) -> TemplateStats:
        """Returns what was seen of a template."""
        found = self.templates.get(template)
        if found is None:
            found = self.templates[template] = TemplateStats()
        return found

    def size(
        self, template: str, declared: resources.Resources
    ) -> resources.Resources:
        """Returns the larger of declared and learnt size."""
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
        """Returns the processors that a task is expected to use."""
        stats = self.templates.get(template)
        if stats is None or stats.samples < MIN_SAMPLES:
            return declared.processors
        return stats.processors

    def run_seconds(self, template: str, declared: float) -> float:
        """Returns the expected run time of a batch task, in seconds."""
        stats = self.templates.get(template)
        return declared if stats is None else declared * stats.run_ratio
