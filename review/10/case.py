"""Case: a drain that is called and answered with yes while the process is replaced does not take place."""

import asyncio
import os
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import world  # noqa: E402


async def case(
    record: world.Record, temporary: Path, dispatchers: list[world.Dispatcher], trouble: bool
) -> str:
    """Calls for a drain at the old process's door, and asks /healthz as the front does."""
    port = world.free_port()
    discovery = world.Discovery()
    await discovery.start()
    ledger = world.Ledger(record)
    runner = world.SlotRunner("r1", record, port, ledger, 4)
    await runner.start()
    discovery.add(runner.uid, runner.port)
    shared = temporary / "shared-tmp"
    old_admin, new_admin = world.free_port(), world.free_port()
    old = world.Dispatcher(record, temporary, "n0", world.config("n0", port, discovery))
    dispatchers.append(old)
    await old.start(tmpdir=shared, admin_port=old_admin)
    await old.wait_until_ready()
    job = asyncio.ensure_future(world.client_request(port, "job", "look", 8.0, record, seconds=3.0))
    await asyncio.sleep(0.2)
    if trouble:
        new = world.Dispatcher(record, temporary, "n0", world.config("n0", port, discovery))
        dispatchers.append(new)
        await new.start(tmpdir=shared, admin_port=new_admin)
        for _ in range(60):
            if await world.request(new_admin, "GET", "/control/ready", {}, b"", 1.0) == 200:
                break
            await asyncio.sleep(0.1)
        else:
            raise RuntimeError("the new process is not ready within 6 s")
        record.write("new process: ready")
        old.send_signal(signal.SIGTERM)
    await asyncio.sleep(0.3)
    status = await world.request(old_admin, "POST", "/control/out-of-service", {}, b"", 1.0)
    called_at = record.now()
    record.write(f"POST /control/out-of-service: {status or 'no answer'}")
    if not 200 <= status <= 299:
        await job
        return ""  # the operator was not told yes
    late_yes: list[float] = []
    last = 0
    while (age := record.now() - called_at) < 6.0:
        answer = await world.request(port, "GET", "/healthz", {}, b"", 1.0)
        if answer != last:
            record.write(f"front: /healthz says {answer or 'nothing'}, {age:.1f} s after the call")
            last = answer
        if answer == 200 and age >= 4.0:
            late_yes.append(age)
        await asyncio.sleep(0.1)
    await job
    if not late_yes:
        return ""
    await world.client_request(port, "after", "look", 2.0, record)
    return f"/healthz still says yes {late_yes[0]:.1f} to {late_yes[-1]:.1f} s after the call to drain"


# With TROUBLE=0 the same is played without the disruption.
world.run_case(FOLDER, case, trouble=os.environ.get("TROUBLE", "1") != "0")
