"""Clients of two entries send bodies of the size that the limits allow.

Each client sends one request on a connection that it keeps, and then waits
for its answer. The platform kills a process whose memory is over its limit,
and starts it again.
"""

import asyncio
import time

import deployment as deployments

ENTRIES = 2
# Clients of each entry, and the pause between the requests of two of them.
CLIENTS = 40
PAUSE_SECONDS = 0.1
BODY_BYTES = 4194304
SMALL_BODY_BYTES = 800
# Of a machine of the class that takes requests.
MEMORY_MB = 300
# Ends of a process in the day that the rule doesn't allow.
MAX_ENDS = 3
RESTART_SECONDS = 0.5
SECONDS = 75


def read_memory(process):
    """Return the resident memory of a process, in MB."""
    with open(f'/proc/{process.pid}/status', encoding='ascii') as lines:
        for line in lines:
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) / 1024
    return 0.0


async def play(deployment):
    record = deployment.record
    size = BODY_BYTES if deployments.has_trouble() else SMALL_BODY_BYTES
    body = b'x' * size
    answered = {entry: [] for entry in range(ENTRIES)}
    ends = [0] * ENTRIES
    peaks = [0.0] * ENTRIES
    ran = set()

    async def serve(runner, request, channel):
        ran.add(request.headers['attempt-id'])
        await asyncio.sleep(0.02)
        await channel.answer(200, b'done', runner.sign(request))

    deployment.runners += [
        deployments.Runner(deployment, 'web', 'a', serve) for _ in range(3)
    ]
    routes = [deployments.make_route('orders', 'non_idempotent', 'web')]
    configuration = deployments.make_configuration(routes)
    configuration['limits']['max_body_bytes'] = BODY_BYTES
    await deployment.start(configuration, ENTRIES)
    stops = time.monotonic() + SECONDS

    async def watch(number):
        """Kill and restart an entry over its memory, as the platform does."""
        entry = deployment.entries[number]
        while time.monotonic() < stops:
            await asyncio.sleep(0.02)
            memory = read_memory(entry.process)
            peaks[number] = max(peaks[number], memory)
            if memory <= MEMORY_MB:
                continue
            ends[number] += 1
            record.write(
                f'{entry.name} has {memory:.0f} MB, over {MEMORY_MB}: killed'
                f' for the {ends[number]}. time'
            )
            entry.process.kill()
            await entry.process.wait()
            await asyncio.sleep(RESTART_SECONDS)
            await entry.start()
            await deployment.wait_for(entry.is_ready, f'{entry.name} is ready')

    async def send(number):
        """Let the clients of an entry send one after the other."""
        entry = deployment.entries[number]
        kept = [None] * CLIENTS
        count = 0
        while time.monotonic() < stops and ends[number] < MAX_ENDS:
            client = count % CLIENTS
            count += 1
            attempt = f'{entry.name}-{count}'
            data = deployments.build_request(attempt, '/orders/1', body=body)
            try:
                if kept[client] is None:
                    kept[client] = await deployments.Connection.open(
                        entry.front
                    )
                answer = await kept[client].send(data)
            except OSError:
                answer = deployments.Answer(0, {}, b'', False)
            if not answer.status:
                if kept[client] is not None:
                    kept[client].close()
                kept[client] = None
                fate = 'has run' if attempt in ran else 'did not run'
                record.write(f'{attempt}: {answer}, it {fate}')
            answered[number].append(answer.status)
            await asyncio.sleep(PAUSE_SECONDS)
        for connection in filter(None, kept):
            connection.close()

    watchers = [deployment.begin(watch(each)) for each in range(ENTRIES)]
    await asyncio.gather(*(send(each) for each in range(ENTRIES)))
    for watcher in watchers:
        watcher.cancel()
    for number, entry in enumerate(deployment.entries):
        good = answered[number].count(200)
        record.write(
            f'{entry.name}: {len(answered[number])} requests of {size} bytes'
            f' sent one after the other on {CLIENTS} connections, {good}'
            f' answered with 200, at most {peaks[number]:.0f} MB,'
            f' {ends[number]} ends'
        )
    if sum(each >= MAX_ENDS for each in ends) >= 2:
        return deployments.BROKEN
    return deployments.HELD


if __name__ == '__main__':
    deployments.main(play)
