"""Operators that publish random documents during a trial and record the results."""

import asyncio
from random import Random

from crankfold.fault_injection.configuration import ALLOWED, IDEMPOTENCY_VALUES, request_class_settings
from crankfold.fault_injection.context import TrialContext
from crankfold.fault_injection.http_client import STATUS_CONFLICT, boot_time_ns
from crankfold.fault_injection.records import SETTINGS, JsonObject, PublishOutcome, PublishRecord


class Operators:
    """Publishes documents at random processes, as the plan specifies."""

    def __init__(self, context: TrialContext) -> None:
        self.context = context
        self.publishes: list[PublishRecord] = []
        self.rng = Random(f"{context.seed} operators")

    async def run(self) -> None:
        """Publishes until the end of the plan and waits for the last responses."""
        plan = self.context.plan
        names = plan.process_names()
        count = 0
        tasks: list[asyncio.Task[None]] = []
        while True:
            await asyncio.sleep(self.rng.expovariate(1 / plan.publish.mean_interval))
            if self.context.clock.elapsed() > min(plan.publish.until, plan.seconds):
                break
            document = self.rng.choice(plan.publish.documents)
            for process in self.rng.sample(names, min(plan.publish.at_once, len(names))):
                count += 1
                tasks.append(asyncio.ensure_future(self._publish(f"call{count}", process, document)))
        await asyncio.gather(*tasks)

    def _random_content(self, document: str) -> JsonObject:
        if document == SETTINGS:
            classes = request_class_settings(self.rng.choice(IDEMPOTENCY_VALUES))
            return {"service-grades": classes, "allowed": ALLOWED}
        backend_ids = list(self.context.plan.machine_zones())
        count = self.rng.randrange(max(len(backend_ids) // 2, 1) + 1)
        return {"runners": dict.fromkeys(self.rng.sample(backend_ids, count), "trial")}

    async def _publish(self, call_id: str, process: str, document: str) -> None:
        content = self._random_content(document)
        is_repeated = self.rng.random() < self.context.plan.publish.repeat_share
        admin = self.context.admin
        path = f"agreed/{document}"
        history = await admin.call(process, path)
        if not history.ok:
            return
        publish = PublishRecord(call_id, boot_time_ns(), process, document, content)
        self.publishes.append(publish)
        request = {
            "call": call_id,
            "made-from": history.content["newest"],
            "text": content,
            "author": process,
            "reason": call_id,
        }
        responses = await asyncio.gather(
            *(admin.call(process, path, request) for _ in range(2 if is_repeated else 1))
        )
        publish.ended_at = boot_time_ns()
        for response in responses:
            if response.ok and response.content.get("well"):
                publish.outcome = PublishOutcome.CONFIRMED
                publish.version = response.content["number"]
            elif response.status == STATUS_CONFLICT and publish.outcome is PublishOutcome.UNKNOWN:
                publish.outcome = PublishOutcome.REFUSED
