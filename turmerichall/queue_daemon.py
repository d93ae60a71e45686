"""The daemon that serves queues of jobs, on entry instances and replicas.

    python -m turmerichall.queue_daemon FILE.ini

SIGTERM drains and then stops it, SIGINT stops it without a drain, and SIGHUP is
only logged.
"""

import os
import signal
import sys
from typing import IO, Any, cast

import trio

from turmerichall import errors
from turmerichall.settings import queue_settings
from turmerichall.settings import settings as common_settings
from turmerichall.supervision import end_record
from turmerichall.supervision import failure as failures
from turmerichall.telemetry import logs

__all__ = ["main", "serve"]

EXIT_SETTINGS = 1
EXIT_STORAGE = 3
# The replicated state needs a later release.
EXIT_RELEASE = 4
# Ended by an exception that nothing expected.
EXIT_ERROR = 70
# Bound on the log lines about exceptions that ended the process together.
MAX_LOGGED_FAILURES = 4
# How long the process waits at its end for buffered log lines to be written.
LOG_FLUSH_SECONDS = 0.5


async def _run(
    settings: queue_settings.QueueSettings, ends: end_record.EndRecord
) -> None:
    # Imports only the modules of the configured role, which saves memory and
    # start-up time.
    # pylint: disable=import-outside-toplevel
    daemon: Any
    if settings.instance.role == "entry":
        from turmerichall.entry import entry_daemon

        daemon = entry_daemon.EntryDaemon.from_config(settings)
    else:
        from turmerichall.dispatch import replica_daemon

        daemon = replica_daemon.ReplicaDaemon.from_config(settings)
    end_record.register(daemon.metrics_registry, ends)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_await_signals, daemon, nursery.cancel_scope)
        await daemon.run()
        nursery.cancel_scope.cancel()


async def _await_signals(daemon: Any, scope: trio.CancelScope) -> None:
    log = logs.Log("daemon")
    with trio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as received:
        draining = False
        async for number in received:
            if number == signal.SIGHUP:
                log.info("settings may have changed", action="none needed")
                continue
            if number == signal.SIGINT or draining:
                scope.cancel()
                return
            draining = True
            log.info("stopping", signal=signal.Signals(number).name)
            await daemon.drain()


async def _wait_for_stop() -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        async for _ in received:
            return


def serve(
    settings_file: str,
    limits: queue_settings.Limits = queue_settings.Limits(),
) -> int:
    """Run the daemon until it stops, and return its exit status.

    Args:
        settings_file: Path of the settings file.
        limits: What the machine gives, where the file does not say.
    """
    try:
        settings = queue_settings.load(settings_file)
    except errors.SettingsError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        return EXIT_SETTINGS
    settings = settings._replace(limits=settings.limits.or_else(limits))
    output = logs.NonBlockingStream(sys.stdout)
    _configure_logs(settings.logs, settings.instance, output)
    ends = end_record.Ends.from_folder(settings.instance.data_folder)
    _log_earlier_ends(ends.record)
    status = 0
    record = ends.record.after_orderly_end()
    try:
        trio.run(_run, settings, ends.record)
    except* errors.ReleaseError as too_new:
        # A restart would end in the same way, again and again.
        for leaf in failures.leaves(too_new):
            logs.Log("daemon").error(
                "a later release is needed; waiting to be stopped",
                reason=str(leaf),
            )
        trio.run(_wait_for_stop)
        status = EXIT_RELEASE
    except* errors.StorageError as group:
        for each in group.exceptions:
            logs.Log("daemon").error("storage failed", reason=str(each))
        status = EXIT_STORAGE
    # What ends the process is logged with its place, whatever it is.
    except* Exception as group:  # pylint: disable=broad-exception-caught
        found = [failures.describe(each) for each in failures.leaves(group)]
        for failure in found[:MAX_LOGGED_FAILURES]:
            logs.Log("daemon").error("ended by an error", **failure.fields())
        record = ends.record.after(found[0])
        status = EXIT_ERROR
    try:
        ends.save(record)
    except OSError as error:
        logs.Log("daemon").warning(
            "the record of ends can't be written", reason=str(error)
        )
    output.drain(LOG_FLUSH_SECONDS)
    return status


def _log_earlier_ends(record: end_record.EndRecord) -> None:
    if record.repeated:
        logs.Log("daemon").error(
            "the process before ended by an error", **record._asdict()
        )


def _configure_logs(
    settings: common_settings.Logs,
    instance: queue_settings.Instance,
    output: logs.NonBlockingStream,
) -> None:
    logs.configure(
        logs.Level[settings.level.upper()],
        settings.file or None,
        stream=cast(IO[str], output),
        instance=instance.name,
    )
    logs.Log("daemon").info(
        "starting", role=instance.role, zone=instance.zone, pid=os.getpid()
    )


def main() -> None:
    """Run the daemon with the settings file named on the command line."""
    if len(sys.argv) != 2:
        print("usage: queue_daemon FILE.ini", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    sys.exit(serve(sys.argv[1]))


if __name__ == "__main__":
    main()
