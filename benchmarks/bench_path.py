"""Benchmark of requests per second through one gateway, compared with a bare HTTP round trip.

Both are measured in the same run. A request through an instance takes at least two HTTP round
trips: from caller to gateway and from owner to worker. Everything runs in one process on the
loopback interface, so a ratio of 0.5 would mean that the instance itself adds no cost.
"""

import statistics
import time

import fire
import treq
from klein import Klein
from twisted.internet import reactor
from twisted.internet.defer import DeferredList, ensureDeferred

from anvilflow.resources import Amounts
from anvilflow.standins import Cell, listen, make_client, make_declarations
from anvilflow.utils import encode

#: Required ratio of the rate through the gateway to the rate of bare round trips.
TARGET = 0.45

IN_FLIGHT = 32


async def measure(n_requests, call):
    """Return the requests per second with `IN_FLIGHT` concurrent requests."""
    n_left = n_requests

    async def send_in_sequence():
        nonlocal n_left
        while n_left > 0:
            n_left -= 1
            await call()

    began = time.perf_counter()
    await DeferredList([ensureDeferred(send_in_sequence()) for _ in range(IN_FLIGHT)])
    return n_requests / (time.perf_counter() - began)


def make_bare_app():
    """Return a klein app that sends the same response as the worker stand-in."""
    app = Klein()

    @app.route("/request", methods=["POST"])
    def request(request):
        request.content.read()
        return b'{"token":"x"}'

    return app


async def run(rounds, n_requests):
    """Measure all rates; return the result of `report`."""
    cell = Cell(
        reactor=reactor,
        domains=["d1"],
        n_instances=1,
        n_workers=8,
        workers_per_rack=8,
        capacity=Amounts(cpu_milli=64_000, memory_mb=65_536, slots=64),
        declarations=make_declarations(reserve=0.0),
    )
    await cell.start()
    port = listen(reactor, make_bare_app(), "127.0.0.1")
    bare_url = f"http://127.0.0.1:{port.getHost().port}/request"
    gateway_url = f"http://{cell.daemons['a1'].context.callers_address}/v1/requests"
    body = encode({"customer": "small", "workload": "lookup", "payload": '{"token":"x"}'})
    client = make_client(reactor)

    async def post_with_treq():
        response = await treq.post(bare_url, data=body)
        await treq.content(response)

    async def post_with_client():
        await client.post(bare_url, body, timeout=10)

    async def post_through_gateway():
        status, answer = await client.post(gateway_url, body, timeout=10)
        assert status == 200, (status, answer)

    calls = {
        "bare treq": post_with_treq,
        "bare, our client": post_with_client,
        "through entry": post_through_gateway,
    }
    for call in calls.values():
        await measure(n_requests // 4, call)
    rates = {name: [] for name in calls}
    for _ in range(rounds):
        for name, call in calls.items():
            rates[name].append(await measure(n_requests, call))
    await cell.stop()
    await port.stopListening()
    return report(rates)


def report(rates):
    """Print rates and ratios; return whether the ratio to bare treq reaches `TARGET`."""
    print(f"{'':18} {'min/s':>8} {'median/s':>9}")
    for name, values in rates.items():
        print(f"{name:18} {min(values):8.0f} {statistics.median(values):9.0f}")
    reached = True
    for name in ("bare treq", "bare, our client"):
        pairs = zip(rates["through entry"], rates[name], strict=True)
        ratios = [through_gateway / bare for through_gateway, bare in pairs]
        median = statistics.median(ratios)
        word = "reached" if median >= TARGET else "short"
        print(f"ratio to {name}: min {min(ratios):.2f} median {median:.2f} ({TARGET}: {word})")
        if name == "bare treq":
            reached = median >= TARGET
    return reached


def main(rounds=7, n_requests=1500):
    """Run the benchmark."""
    done = ensureDeferred(run(rounds, n_requests))
    results = []
    done.addBoth(results.append)
    done.addBoth(lambda _: reactor.stop())
    reactor.run()
    if hasattr(results[0], "raiseException"):
        results[0].raiseException()


if __name__ == "__main__":
    fire.Fire(main)
