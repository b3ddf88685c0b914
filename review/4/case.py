"""A stopping entry accepts streams whose callers expect short answers.

Each zone has one entry, so the platform goes on giving it connections. It
accepts a stream by its ``Length-Hint``, which is often far off, and cuts off
those that turn out to be long.
"""

import asyncio
import time

import deployment as deployments

ZONES = ('a', 'b', 'c')
RUNNERS = 4
EVENT_SECONDS = 0.025
TOKENS_PER_EVENT = 2
# Events of most streams, and of every fifth; 182 is the most on the sheet.
SHORT_EVENTS = 36
LONG_EVENTS = 182
LONG_EVERY = 5
# The callers of long streams expect a tenth of them, the others are right.
HINT_SHARE = 0.1
PAUSE_SECONDS = 0.06
WARM_UP_SECONDS = 12.0
GRACE_SECONDS = deployments.BOUNDS['grace_s']
# What was sent no later than this after the SIGTERM may be cut off at the end.
EXCUSED_SECONDS = 3.0


async def play(deployment):
    record = deployment.record
    passed_on = set()

    async def serve(runner, request, channel):
        attempt = request.headers['attempt-id']
        after = int(request.headers.get('last-event-id', 0))
        count = int(request.headers['events'])
        passed_on.add(attempt)
        headers = {
            **runner.sign(request),
            'Content-Type': 'text/event-stream',
        }
        await channel.send(channel.build_head(200, headers, None))
        for number in range(after + 1, count + 1):
            await asyncio.sleep(EVENT_SECONDS)
            event = b'id: %d\ndata: piece\n\n' % number
            await channel.send(b'%x\r\n%b\r\n' % (len(event), event))
        await channel.send(b'0\r\n\r\n')

    deployment.runners += [
        deployments.Runner(deployment, 'llm', 'a', serve, 'a100s')
        for _ in range(RUNNERS)
    ]
    routes = [
        deployments.make_route(
            'plan',
            'streaming',
            'llm',
            sticky=True,
            resumable=True,
            gap_target_ms=200,
            timeout_ms=20000,
        )
    ]
    services = [
        {
            'name': 'llm',
            'health_path': '/h',
            'max_conns': 968,
            'engine': deployments.make_engine(),
        }
    ]
    configuration = deployments.make_configuration(routes, services)
    await deployment.start(configuration, len(ZONES), ZONES)
    await deployment.wait_for(
        lambda: all(each.holds for each in deployment.runners),
        'the runners hold layers',
    )
    await asyncio.sleep(1.0)
    stopping = deployment.entries[0]
    ended = []  # attempt, time of sending, events, answer

    async def send(number):
        is_long = number % LONG_EVERY == 0
        count = LONG_EVENTS if is_long else SHORT_EVENTS
        hint = count * TOKENS_PER_EVENT * (HINT_SHARE if is_long else 1)
        attempt = f'stream-{number}'
        data = deployments.build_request(
            attempt,
            f'/plan/{number}',
            body=b'prompt %d' % number,
            Deadline_Ms='20000',
            Model='m0',
            Token_Count=f'800,{LONG_EVENTS * TOKENS_PER_EVENT}',
            Length_Hint=f'{hint:.0f}',
            Prefix_Hash=f'5c1e07a2:40,{number:x}:760',
            Events=str(count),
        )
        sent = time.monotonic()
        try:
            answer = await deployments.call(stopping.front, data, 21)
        except OSError:
            answer = deployments.Answer(0, {}, b'', False)
        ended.append((attempt, sent, count, answer))

    async def send_all():
        number = 0
        while True:
            number += 1
            deployment.begin(send(number))
            await asyncio.sleep(PAUSE_SECONDS)

    sending = deployment.begin(send_all())
    await asyncio.sleep(WARM_UP_SECONDS)
    stopped = time.monotonic()
    if deployments.has_trouble():
        record.write(f'SIGTERM for {stopping.name}')
        await stopping.end(GRACE_SECONDS)
        record.write(f'{stopping.name} has ended')
    else:
        await asyncio.sleep(GRACE_SECONDS)
    sending.cancel()
    await asyncio.sleep(0.5 if deployments.has_trouble() else 6.0)
    lost = []
    for attempt, sent, count, answer in ended:
        late = sent - stopped
        if late < 0:
            continue
        record.write(
            f'{attempt} of {count} events, sent {late:.3f} s after the'
            f' SIGTERM: {answer}'
        )
        if answer.is_complete or attempt not in passed_on:
            continue
        if late > EXCUSED_SECONDS:
            lost.append(f'{attempt} ({late:.2f} s)')
    record.write(
        f'{len(lost)} streams that were sent later than {EXCUSED_SECONDS} s'
        f' after the SIGTERM were read, passed on and cut off:'
        f' {", ".join(lost)}'
    )
    return deployments.BROKEN if lost else deployments.HELD


if __name__ == '__main__':
    deployments.main(play)
